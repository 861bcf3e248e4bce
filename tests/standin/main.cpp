#include "common.hpp"

int main(int argc, char** argv) {
    CLI::App app{"Stand-ins for the systems around ospreystage"};
    app.require_subcommand(1);
    int status = 0;
    ospreystage::standin::add_kv_command(app, status);
    ospreystage::standin::add_engine_command(app, status);
    ospreystage::standin::add_origin_command(app, status);
    ospreystage::standin::add_plain_command(app, status);
    ospreystage::standin::add_vms_command(app, status);
    CLI11_PARSE(app, argc, argv);
    return status;
}
