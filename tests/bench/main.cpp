#include <tests/bench/capacity.hpp>
#include <tests/bench/claims.hpp>
#include <tests/bench/control.hpp>
#include <tests/bench/control_items.hpp>
#include <tests/bench/decisions.hpp>
#include <tests/bench/distribution.hpp>
#include <tests/bench/limits.hpp>
#include <tests/bench/links.hpp>
#include <tests/bench/quickstart.hpp>
#include <tests/bench/requests.hpp>

int main(int argc, char** argv) {
    CLI::App app{"Load and experiments against separate processes"};
    app.require_subcommand(1);
    int status = 0;
    ospreystage::bench::add_quickstart(app, status);
    ospreystage::bench::add_requests(app, status);
    ospreystage::bench::add_distribution(app, status);
    ospreystage::bench::add_control(app, status);
    ospreystage::bench::add_control_items(app, status);
    ospreystage::bench::add_capacity(app, status);
    ospreystage::bench::add_decisions(app, status);
    ospreystage::bench::add_claims(app, status);
    ospreystage::bench::add_limits(app, status);
    ospreystage::bench::add_links(app, status);
    CLI11_PARSE(app, argc, argv);
    return status;
}
