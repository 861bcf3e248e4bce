#include "platform/nodes.hpp"

#include <ospreystage/app/commands.hpp>
#include <ospreystage/app/explain.hpp>

#include <CLI/CLI.hpp>

#include <csignal>
#include <cstdlib>
#include <functional>
#include <iostream>

using namespace ospreystage;

namespace {

using command = std::function<exit_code()>;

constexpr const char* exit_codes =
    "Exit codes: 0 done; 1 refused or invalid; 2 wrong arguments or "
    "settings; 3 outcome not yet known; 4 the entry did not answer.";

/// Loads settings and checks that they are for `role`; prints the error and
/// returns nothing on failure.
std::optional<settings> load_settings_for(const std::string& file,
                                          process_role role) {
    error failure;
    auto value = value_or_error([&] { return load_settings(file); }, failure);
    if (!value) {
        std::cerr << failure.detail << '\n';
        return std::nullopt;
    }
    if (value->process.role != role) {
        std::cerr << file << ": process.role does not match this command\n";
        return std::nullopt;
    }
    return value;
}

void add_process(CLI::App& app, const char* name, const char* description,
                 process_role role, exit_code (*run)(const settings&),
                 command& chosen) {
    CLI::App* sub = app.add_subcommand(name, description);
    auto file = std::make_shared<std::string>();
    sub->add_option("--settings", *file, "Settings file (TOML)")->required();
    sub->callback([file, role, run, &chosen] {
        chosen = [file, role, run] {
            const auto configuration = load_settings_for(*file, role);
            return configuration ? run(*configuration) : exit_code::usage;
        };
    });
}

/// Runs a process on the users' platform and exits without running static
/// destructors: those of the logging library wait for its own threads, which
/// may never end there.
template <exit_code (*Run)()>
exit_code run_and_exit() {
    std::quick_exit(static_cast<int>(Run()));
}

/// Adds the commands that take their settings from the users' platform.
void add_platform(CLI::App& app, command& chosen) {
    CLI::App* node =
        app.add_subcommand("platform", "Run on the users' platform");
    node->require_subcommand(1);
    node->add_subcommand("entry", "Run an entry")->callback([&chosen] {
        chosen = run_and_exit<platform::run_entry_node>;
    });
    node->add_subcommand("agent", "Run the agent beside an engine")
        ->callback(
            [&chosen] { chosen = run_and_exit<platform::run_agent_node>; });
}

void add_check(CLI::App& app, command& chosen) {
    CLI::App* check =
        app.add_subcommand("check", "Validate files without applying them");
    check->require_subcommand(1);
    const auto add = [&](const char* name, const char* description,
                         exit_code (*run)(const std::vector<std::string>&)) {
        CLI::App* sub = check->add_subcommand(name, description);
        auto files = std::make_shared<std::vector<std::string>>();
        sub->add_option("files", *files, "Files to validate")->required();
        sub->callback([files, run, &chosen] {
            chosen = [files, run] { return run(*files); };
        });
    };
    add("settings", "Validate settings files (TOML)", check_settings);
    add("rollout", "Validate rollout documents (JSON)", check_rollouts);
}

void add_explain(CLI::App& app, command& chosen) {
    CLI::App* sub = app.add_subcommand(
        "explain", "Print the events of one request from log files");
    auto id = std::make_shared<std::string>();
    auto files = std::make_shared<std::vector<std::string>>();
    sub->add_option("id", *id, "Id of the request")->required();
    sub->add_option("logs", *files, "Log files of any processes")->required();
    sub->callback([id, files, &chosen] {
        chosen = [id, files] { return explain(*id, *files); };
    });
}

/// Adds one `ctl` subcommand that runs `run` on the shared options.
CLI::App* add_ctl_command(CLI::App& parent, const char* name,
                          const char* description,
                          exit_code (*run)(const ctl_options&),
                          ctl_options& options, command& chosen) {
    CLI::App* sub = parent.add_subcommand(name, description);
    sub->callback([run, &options, &chosen] {
        chosen = [run, &options] { return run(options); };
    });
    return sub;
}

void add_rollout(CLI::App& ctl, ctl_options& options, command& chosen) {
    CLI::App* rollout =
        ctl.add_subcommand("rollout", "Read and change the rollout document");
    rollout->require_subcommand(1);
    const auto add = [&](const char* name, const char* description,
                         exit_code (*run)(const ctl_options&)) {
        return add_ctl_command(*rollout, name, description, run, options,
                               chosen);
    };
    const auto needs_file = [&](CLI::App* sub) {
        sub->add_option("file", options.file, "Rollout document (JSON)")
            ->required();
        return sub;
    };
    const auto takes_operation = [&](CLI::App* sub) {
        sub->add_option("--operation", options.operation_id,
                        "Operation id; reuse it to retry a call safely");
        return sub;
    };
    needs_file(
        add("validate", "List the problems of a document", ctl_validate));
    needs_file(
        add("diff", "Compare a file with the document in force", ctl_diff));
    takes_operation(needs_file(add("apply", "Submit a document", ctl_apply)));
    CLI::App* operation =
        add("operation", "Show the outcome of an operation", ctl_operation);
    operation->add_option("id", options.operation_id, "Operation id")
        ->required();
    operation
        ->add_option("--based-on", options.number,
                     "Revision on which the edit was based")
        ->required();
    add("status", "Show the revision in force on each VM", ctl_status);
    add("show", "Print a document", ctl_show)
        ->add_option("--revision", options.number,
                     "Revision; 0: the document in force");
    add("history", "List accepted revisions", ctl_history);
    takes_operation(
        add("rollback", "Accept an earlier revision again", ctl_rollback))
        ->add_option("--to", options.number, "Revision to return to")
        ->required();
}

void add_ctl(CLI::App& app, ctl_options& options, command& chosen) {
    CLI::App* ctl = app.add_subcommand("ctl", "Operate a running system");
    ctl->require_subcommand(1);
    ctl->add_option("--entry", options.entry, "URL of any entry or agent");
    ctl->add_option("--token", options.token, "Operator's token")
        ->envname("OSPREYSTAGE_TOKEN");
    add_rollout(*ctl, options, chosen);
    add_ctl_command(*ctl, "dump", "Print the state dump of a process", ctl_dump,
                    options, chosen);
}

} // namespace

int main(int argc, char** argv) {
    std::signal(SIGPIPE, SIG_IGN);
    CLI::App app{"Weight distribution for bursts"};
    app.set_version_flag("--version", OSPREYSTAGE_VERSION);
    app.require_subcommand(1);
    app.footer(exit_codes);
    command chosen;
    ctl_options options;
    add_process(app, "entry", "Run an entry", process_role::entry, run_entry,
                chosen);
    add_process(app, "agent", "Run an agent", process_role::agent, run_agent,
                chosen);
    add_platform(app, chosen);
    add_check(app, chosen);
    add_explain(app, chosen);
    add_ctl(app, options, chosen);
    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError& problem) {
        const int status = app.exit(problem);
        return status == 0 ? 0 : static_cast<int>(exit_code::usage);
    }
    return static_cast<int>(chosen());
}
