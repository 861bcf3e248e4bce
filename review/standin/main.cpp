#include "cases.hpp"

#include <sys/prctl.h>
#include <unistd.h>

#include <csignal>
#include <cstdio>
#include <exception>
#include <functional>

namespace {

using namespace ospreystage::review;

/// A case ends by itself long before; this bounds it in any event.
constexpr unsigned max_seconds = 118;
constexpr int not_run_status = 2;

int status_of(verdict result) {
    switch (result) {
    case verdict::held:
        return 0;
    case verdict::broken:
        return 1;
    case verdict::not_run:
        break;
    }
    return not_run_status;
}

} // namespace

/// Usage: standin CASE ROOT RECORD TROUBLE
int main(int count, char** arguments) {
    const std::map<std::string, std::function<verdict(const case_options&)>>
        cases{{"store-drill", run_store_drill},
              {"silent-store", run_silent_store},
              {"fatal-request", run_fatal_request},
              {"restart-in-place", run_restart_in_place}};
    if (count != 5 || !cases.contains(arguments[1])) {
        std::fprintf(stderr, "usage: standin CASE ROOT RECORD TROUBLE\n");
        return not_run_status;
    }
    // Ends with the script that started it, however that ends.
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    alarm(max_seconds);
    try {
        return status_of(cases.at(arguments[1])(
            {arguments[2], arguments[3], arguments[4] != std::string("0")}));
    } catch (const std::exception& problem) {
        std::fprintf(stderr, "the case could not run: %s\n", problem.what());
    }
    return not_run_status;
}
