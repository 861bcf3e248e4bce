#include <CLI/CLI.hpp>

int main(int argc, char** argv) {
    CLI::App app{"Stand-ins for the systems around ospreystage"};
    CLI11_PARSE(app, argc, argv);
    return 0;
}
