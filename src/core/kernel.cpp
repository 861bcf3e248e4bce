#include <ospreystage/core/kernel.hpp>
#include <ospreystage/core/log.hpp>

#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <exception>
#include <thread>
#include <utility>

namespace ospreystage {

namespace {

constexpr int max_wait_ms = 1000;
constexpr std::size_t events_per_wait = 256;
/// Turns without work after which simulated time goes on: bytes may still be on
/// their way between sockets.
constexpr int idle_turns_per_step = 3;

void log_failure(const std::string& work, const char* problem) {
    log_event(log_level::error, "task_failed",
              {{"task", work}, {"error", problem}});
}

/// Runs one piece of work. An exception ends that piece only: the process holds
/// the requests and connections of many others.
template <typename Work>
void run_guarded(const std::string& name, const Work& work) {
    try {
        work();
    } catch (const std::exception& problem) {
        log_failure(name, problem.what());
    } catch (...) {
        log_failure(name, "exception of an unknown type");
    }
}

} // namespace

kernel::kernel()
    : epoll_descriptor_(epoll_create1(EPOLL_CLOEXEC)),
      wake_descriptor_(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)) {
    if (epoll_descriptor_ < 0 || wake_descriptor_ < 0)
        throw std::runtime_error(
            "cannot create the epoll or eventfd descriptor");
    epoll_event request{};
    request.events = EPOLLIN;
    request.data.fd = wake_descriptor_;
    epoll_ctl(epoll_descriptor_, EPOLL_CTL_ADD, wake_descriptor_, &request);
}

kernel::~kernel() {
    std::deque<queued_task> dropped;
    {
        const absl::MutexLock lock(&mutex_);
        queue_closed_ = true;
        dropped.swap(queue_);
    }
    dropped.clear();
    timers_.clear();
    watched_.clear();
    // Services that use each other are destroyed in no particular order, so
    // the destructor of a service must not call into the kernel.
    services_.clear();
    close(wake_descriptor_);
    close(epoll_descriptor_);
}

void kernel::insert(const std::string& name, service_record record) {
    if (!services_.emplace(name, std::move(record)).second)
        throw std::logic_error("service " + name + " is already registered");
}

const kernel::service_record*
kernel::find_record(const std::string& name) const {
    const auto found = services_.find(name);
    return found == services_.end() ? nullptr : &found->second;
}

nlohmann::json kernel::dump() const {
    nlohmann::json state;
    for (const auto& [name, record] : services_) {
        nlohmann::json& service_state = state["services"][name];
        service_state["tasks"] = record.tasks;
        service_state["busy_us"] = record.busy / microseconds(1);
        service_state["longest_us"] = record.longest / microseconds(1);
        service_state["state"] = record.dump();
    }
    state["timers"] = timers_.size();
    const absl::MutexLock lock(&mutex_);
    state["queued"] = queue_.size();
    return state;
}

void kernel::post(const std::string& service, task work) {
    {
        const absl::MutexLock lock(&mutex_);
        if (queue_closed_)
            return;
        queue_.push_back({service, std::move(work)});
    }
    wake();
}

timer_id kernel::after(const std::string& service,
                       std::chrono::nanoseconds delay, task work) {
    const timer_id id{next_timer_++};
    const instant due = steady::now() + delay;
    const auto position =
        timers_.emplace(due, timer_record{id, service, std::move(work)});
    timer_index_.emplace(static_cast<std::uint64_t>(id), position);
    return id;
}

void kernel::every(const std::string& service, std::chrono::nanoseconds period,
                   task work) {
    after(service, period, [this, service, period, work = std::move(work)] {
        run_guarded(service, work);
        every(service, period, work);
    });
}

void kernel::cancel(timer_id timer) {
    const auto found = timer_index_.find(static_cast<std::uint64_t>(timer));
    if (found == timer_index_.end())
        return;
    timers_.erase(found->second);
    timer_index_.erase(found);
}

void kernel::at_turn_end(task work) {
    if (run_ended_)
        work();
    else
        turn_end_.push_back(std::move(work));
}

void kernel::watch(int descriptor, std::uint32_t events,
                   descriptor_handler handler) {
    epoll_event request{};
    request.events = events;
    request.data.fd = descriptor;
    watched_[descriptor] =
        std::make_shared<descriptor_handler>(std::move(handler));
    epoll_ctl(epoll_descriptor_, EPOLL_CTL_ADD, descriptor, &request);
}

void kernel::rewatch(int descriptor, std::uint32_t events) {
    epoll_event request{};
    request.events = events;
    request.data.fd = descriptor;
    epoll_ctl(epoll_descriptor_, EPOLL_CTL_MOD, descriptor, &request);
}

void kernel::unwatch(int descriptor) {
    epoll_ctl(epoll_descriptor_, EPOLL_CTL_DEL, descriptor, nullptr);
    watched_.erase(descriptor);
}

void kernel::close(int descriptor) {
    watched_.erase(descriptor);
    ::close(descriptor);
}

void kernel::run() {
    while (!stopping_.load(std::memory_order_acquire))
        run_turn(next_wait_ms());
    run_turn_end();
    run_ended_ = true;
    const absl::MutexLock lock(&mutex_);
    queue_closed_ = true;
    queue_.clear();
}

void kernel::run_while(const std::function<bool()>& condition) {
    while (!stopping_.load(std::memory_order_acquire) && condition())
        run_turn(next_wait_ms());
    run_turn_end();
}

void kernel::run_simulated(simulated_clock& clock, instant end) {
    int idle_turns = 0;
    while (!stopping_.load(std::memory_order_acquire) && clock.now() < end) {
        if (run_turn(0)) {
            idle_turns = 0;
        } else if (++idle_turns < idle_turns_per_step) {
            std::this_thread::yield();
        } else {
            idle_turns = 0;
            clock.advance_to(
                timers_.empty() ? end : std::min(timers_.begin()->first, end));
        }
    }
    run_turn_end();
}

/// Runs what is ready, after a wait of up to `wait_ms` for it; returns false if
/// nothing was.
bool kernel::run_turn(int wait_ms) {
    std::array<epoll_event, events_per_wait> ready{};
    run_turn_end();
    const int count = epoll_wait(epoll_descriptor_, ready.data(),
                                 static_cast<int>(ready.size()), wait_ms);
    // A wait that a signal interrupts reports no events.
    if (count >= 0)
        events_since_ = std::exchange(last_wait_ended_, steady::now());
    for (int index = 0; index < count; ++index) {
        const epoll_event& event = ready[static_cast<std::size_t>(index)];
        if (event.data.fd == wake_descriptor_) {
            std::uint64_t value = 0;
            [[maybe_unused]] const auto bytes =
                read(wake_descriptor_, &value, sizeof(value));
            continue;
        }
        const auto found = watched_.find(event.data.fd);
        if (found == watched_.end())
            continue;
        const std::shared_ptr<descriptor_handler> handler = found->second;
        run_guarded("descriptor", [&] { (*handler)(event.events); });
    }
    const bool has_queued = run_queue();
    const bool has_timers = run_timers();
    return count > 0 || has_queued || has_timers;
}

void kernel::stop() noexcept {
    stopping_.store(true, std::memory_order_release);
    wake();
}

void kernel::execute(const std::string& service, const task& work) {
    const instant started = steady::now();
    run_guarded(service, work);
    const auto spent = steady::now() - started;
    const auto found = services_.find(service);
    if (found == services_.end())
        return;
    found->second.tasks += 1;
    found->second.busy += spent;
    found->second.longest =
        std::max<std::chrono::nanoseconds>(found->second.longest, spent);
}

bool kernel::run_queue() {
    std::deque<queued_task> batch;
    {
        const absl::MutexLock lock(&mutex_);
        batch.swap(queue_);
    }
    for (queued_task& queued : batch) {
        execute(queued.service, queued.work);
        queued.work = nullptr;
    }
    return !batch.empty();
}

bool kernel::run_timers() {
    const instant now = steady::now();
    bool has_run = false;
    while (!timers_.empty() && timers_.begin()->first <= now) {
        timer_record due = std::move(timers_.begin()->second);
        timers_.erase(timers_.begin());
        timer_index_.erase(static_cast<std::uint64_t>(due.id));
        execute(due.service, due.work);
        has_run = true;
    }
    return has_run;
}

void kernel::run_turn_end() {
    // A task may append further tasks, which run in the same iteration.
    for (std::size_t index = 0; index < turn_end_.size(); ++index) {
        const task work = std::move(turn_end_[index]);
        run_guarded("turn end", work);
    }
    turn_end_.clear();
}

int kernel::next_wait_ms() const {
    {
        const absl::MutexLock lock(&mutex_);
        if (!queue_.empty())
            return 0;
    }
    if (timers_.empty())
        return max_wait_ms;
    const auto remaining =
        std::chrono::ceil<milliseconds>(timers_.begin()->first - steady::now());
    return static_cast<int>(
        std::clamp<std::int64_t>(remaining.count(), 0, max_wait_ms));
}

void kernel::wake() noexcept {
    const std::uint64_t one = 1;
    [[maybe_unused]] const auto bytes =
        write(wake_descriptor_, &one, sizeof(one));
}

} // namespace ospreystage
