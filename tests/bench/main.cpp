#include <CLI/CLI.hpp>

int main(int argc, char** argv) {
    CLI::App app{"Load and experiments against separate processes"};
    CLI11_PARSE(app, argc, argv);
    return 0;
}
