#include <CLI/CLI.hpp>

#include <cstdio>

int main(int argc, char** argv) {
    CLI::App app{"Weight distribution for bursts"};
    app.set_version_flag("--version", OSPREYSTAGE_VERSION);
    CLI11_PARSE(app, argc, argv);
    return 0;
}
