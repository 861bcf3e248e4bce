#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <tests/support/child_process.hpp>
#include <unistd.h>

#include <csignal>
#include <cstring>
#include <fstream>
#include <sstream>
#include <thread>
#include <utility>

namespace ospreystage::support {

namespace {

constexpr milliseconds poll_interval{5};
constexpr int signal_status_base = 128;
constexpr mode_t log_mode = 0644;

int to_exit_status(int raw) {
    if (WIFSIGNALED(raw))
        return signal_status_base + WTERMSIG(raw);
    return WEXITSTATUS(raw);
}

int spawn(const std::vector<std::string>& arguments,
          const std::string& log_file, pid_t& pid) {
    std::vector<char*> raw;
    raw.reserve(arguments.size() + 1);
    for (const std::string& argument : arguments)
        raw.push_back(const_cast<char*>(argument.c_str()));
    raw.push_back(nullptr);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDIN_FILENO, "/dev/null",
                                     O_RDONLY, 0);
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log_file.c_str(),
                                     O_WRONLY | O_CREAT | O_TRUNC | O_APPEND,
                                     log_mode);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    const int status =
        posix_spawn(&pid, raw[0], &actions, nullptr, raw.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    return status;
}

bool has_line(const std::string& text, const std::string& line) {
    std::istringstream lines(text);
    for (std::string next; std::getline(lines, next);) {
        if (next == line)
            return true;
    }
    return false;
}

} // namespace

leaf::result<child_process>
child_process::start(const std::vector<std::string>& arguments,
                     const std::string& log_file) {
    if (arguments.empty())
        return fail(error_code::invalid_argument, "child_process.start", "",
                    "no program is named");
    pid_t pid = 0;
    const int status = spawn(arguments, log_file, pid);
    if (status != 0)
        return fail(error_code::unavailable, "child_process.start",
                    arguments.front(), std::strerror(status));
    return child_process(pid, log_file);
}

child_process::child_process(pid_t pid, std::string log_file)
    : pid_(pid), log_file_(std::move(log_file)) {}

child_process::child_process(child_process&& other) noexcept
    : pid_(std::exchange(other.pid_, 0)), log_file_(std::move(other.log_file_)),
      status_(std::exchange(other.status_, std::nullopt)) {}

child_process& child_process::operator=(child_process&& other) noexcept {
    if (this == &other)
        return *this;
    kill();
    pid_ = std::exchange(other.pid_, 0);
    log_file_ = std::move(other.log_file_);
    status_ = std::exchange(other.status_, std::nullopt);
    return *this;
}

child_process::~child_process() {
    kill();
}

std::string child_process::log_text() const {
    std::ifstream in(log_file_);
    std::ostringstream text;
    text << in.rdbuf();
    return text.str();
}

bool child_process::running() {
    reap(WNOHANG);
    return pid_ > 0 && !status_;
}

bool child_process::await_line(const std::string& line, milliseconds timeout) {
    const instant end = steady::now() + timeout;
    for (;;) {
        const bool alive = running();
        if (has_line(log_text(), line))
            return true;
        if (!alive || steady::now() >= end)
            return false;
        std::this_thread::sleep_for(poll_interval);
    }
}

std::optional<int> child_process::wait(milliseconds timeout) {
    const instant end = steady::now() + timeout;
    while (running() && steady::now() < end)
        std::this_thread::sleep_for(poll_interval);
    return status_;
}

void child_process::terminate() {
    send(SIGTERM);
}

void child_process::hang_up() {
    send(SIGHUP);
}

void child_process::kill() {
    send(SIGKILL);
    reap(0);
}

void child_process::freeze() {
    send(SIGSTOP);
}

void child_process::thaw() {
    send(SIGCONT);
}

void child_process::send(int signal) const {
    // A reaped id may belong to another process by now.
    if (pid_ > 0 && !status_)
        ::kill(pid_, signal);
}

void child_process::reap(int options) {
    if (pid_ <= 0 || status_)
        return;
    int raw = 0;
    if (waitpid(pid_, &raw, options) == pid_)
        status_ = to_exit_status(raw);
}

} // namespace ospreystage::support
