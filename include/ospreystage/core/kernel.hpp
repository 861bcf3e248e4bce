#pragma once

#include <ospreystage/core/simulated_clock.hpp>

#include <absl/base/thread_annotations.h>
#include <absl/container/flat_hash_map.h>
#include <absl/synchronization/mutex.h>
#include <absl/synchronization/notification.h>
#include <nlohmann/json.hpp>

#include <atomic>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <stdexcept>
#include <string>
#include <typeindex>
#include <utility>
#include <vector>

namespace ospreystage {

/// Identifies a timer of the kernel.
enum class timer_id : std::uint64_t {};

/// Event loop of a process, with a registry of named services.
///
/// Tasks, timers and descriptor handlers run on the thread that calls `run`
/// (the kernel thread), so services need no locks. Other threads submit work
/// with `post` or `call`.
///
///     kernel core;
///     core.add("router", std::make_unique<router>(core));
///     core.post("router", [&] { core.find<router>("router").refresh(); });
///     core.run();
class kernel {
  public:
    using task = std::function<void()>;
    using descriptor_handler = std::function<void(std::uint32_t events)>;

    // ---- Construction ------------------------------------------------------

    kernel();
    ~kernel();
    kernel(const kernel&) = delete;
    kernel& operator=(const kernel&) = delete;

    /// Registers a service, which must have `nlohmann::json dump() const`.
    ///
    /// Call it before `run` only. Throws `std::logic_error` if the name is
    /// already registered.
    template <typename Service>
    Service& add(const std::string& name, std::unique_ptr<Service> service);

    // ---- Observers ---------------------------------------------------------

    /// Returns the service called `name`; throws `std::logic_error` if there
    /// is none or it is not a `Service`.
    template <typename Service>
    [[nodiscard]] Service& find(const std::string& name) const;

    /// Returns the service called `name`, or null if there is none.
    ///
    /// Throws `std::logic_error` if it is not a `Service`.
    template <typename Service>
    [[nodiscard]] Service* find_if(const std::string& name) const;

    /// Returns the state and run times of every service, and the numbers of
    /// timers and queued tasks (kernel thread).
    [[nodiscard]] nlohmann::json dump() const;

    // ---- Work --------------------------------------------------------------

    /// Queues work for the kernel thread and counts its run time for
    /// `service`. Safe from any thread; drops the work if the kernel has
    /// stopped.
    void post(const std::string& service, task work);

    /// Runs `body` on the kernel thread and waits for its value.
    ///
    /// Returns nothing if the kernel stops first. Calling it on the kernel
    /// thread would deadlock.
    template <typename Body>
    auto call(const std::string& service, Body body)
        -> std::optional<decltype(body())>;

    /// Schedules work to run once after `delay` (kernel thread).
    timer_id after(const std::string& service, std::chrono::nanoseconds delay,
                   task work);

    /// Schedules work to run repeatedly, each time `period` after the previous
    /// run (kernel thread).
    void every(const std::string& service, std::chrono::nanoseconds period,
               task work);

    /// Cancels a timer; has no effect if it has fired (kernel thread).
    void cancel(timer_id timer);

    /// Returns the time since which everything that the loop handles now has
    /// happened: the end of the wait before the last one. A loop that is late
    /// learns from it how late it may be (kernel thread).
    [[nodiscard]] instant events_since() const noexcept {
        return events_since_;
    }

    /// Schedules work for the end of this iteration of the loop, after all
    /// ready events, tasks and timers and before the next wait (kernel
    /// thread). Runs it immediately if `run` has returned.
    void at_turn_end(task work);

    // ---- Descriptors -------------------------------------------------------

    /// Calls `handler` whenever one of the epoll `events` occurs on the
    /// descriptor.
    void watch(int descriptor, std::uint32_t events,
               descriptor_handler handler);

    /// Changes the epoll events of a watched descriptor.
    void rewatch(int descriptor, std::uint32_t events);

    /// Removes a descriptor from the loop; the caller closes it.
    void unwatch(int descriptor);

    /// Removes a descriptor from the loop and closes it.
    ///
    /// Closing also removes it from epoll, provided that the descriptor has
    /// no duplicate.
    void close(int descriptor);

    // ---- Life cycle --------------------------------------------------------

    /// Runs the loop until `stop`; drops tasks that are still queued then.
    void run();

    /// Runs while `condition` holds and `stop` was not called; unlike `run`, it
    /// may be called again.
    void run_while(const std::function<bool()>& condition);

    /// Runs until `clock` of this thread shows `end`, which advances to the
    /// next timer whenever no descriptor is ready. For tests whose peers all
    /// run on this kernel.
    void run_simulated(simulated_clock& clock, instant end);

    /// Makes `run` return. Safe from any thread and from signal handlers.
    void stop() noexcept;

  private:
    struct service_record {
        std::shared_ptr<void> object;
        std::type_index type;
        std::function<nlohmann::json()> dump;
        std::uint64_t tasks = 0;
        std::chrono::nanoseconds busy{};
        std::chrono::nanoseconds longest{};
    };
    struct queued_task {
        std::string service;
        task work;
    };
    struct timer_record {
        timer_id id;
        std::string service;
        task work;
    };

    void insert(const std::string& name, service_record record);
    [[nodiscard]] const service_record*
    find_record(const std::string& name) const;
    void execute(const std::string& service, const task& work);
    bool run_turn(int wait_ms);
    bool run_queue(); ///< Returns false if nothing was due; as below.
    bool run_timers();
    void run_turn_end();
    [[nodiscard]] int next_wait_ms() const;
    void wake() noexcept;

    std::map<std::string, service_record> services_;
    std::multimap<instant, timer_record> timers_;
    absl::flat_hash_map<std::uint64_t,
                        std::multimap<instant, timer_record>::iterator>
        timer_index_;
    absl::flat_hash_map<int, std::shared_ptr<descriptor_handler>> watched_;
    std::vector<task> turn_end_;
    instant last_wait_ended_ = steady::now();
    instant events_since_ = last_wait_ended_;
    bool run_ended_ = false; ///< `run` has run its last `turn_end_` tasks.
    std::uint64_t next_timer_ = 1;
    int epoll_descriptor_ = -1;
    int wake_descriptor_ = -1;
    std::atomic<bool> stopping_{false};

    mutable absl::Mutex mutex_;
    std::deque<queued_task> queue_ ABSL_GUARDED_BY(mutex_);
    bool queue_closed_ ABSL_GUARDED_BY(mutex_) = false;
};

template <typename Service>
Service& kernel::add(const std::string& name,
                     std::unique_ptr<Service> service) {
    std::shared_ptr<Service> shared = std::move(service);
    Service& reference = *shared;
    insert(name, {shared, std::type_index(typeid(Service)),
                  [&reference] { return reference.dump(); }});
    return reference;
}

template <typename Service>
Service* kernel::find_if(const std::string& name) const {
    const service_record* record = find_record(name);
    if (record == nullptr)
        return nullptr;
    if (record->type != std::type_index(typeid(Service)))
        throw std::logic_error("service " + name +
                               " is registered with another type");
    return static_cast<Service*>(record->object.get());
}

template <typename Service>
Service& kernel::find(const std::string& name) const {
    Service* service = find_if<Service>(name);
    if (service == nullptr)
        throw std::logic_error("no service named " + name);
    return *service;
}

template <typename Body>
auto kernel::call(const std::string& service, Body body)
    -> std::optional<decltype(body())> {
    using value_type = decltype(body());
    struct shared_state {
        absl::Notification done;
        std::optional<value_type> value;
    };
    auto state = std::make_shared<shared_state>();
    // The guard also notifies if the kernel drops the task without running it.
    struct guard {
        std::shared_ptr<shared_state> state;
        explicit guard(std::shared_ptr<shared_state> shared)
            : state(std::move(shared)) {}
        guard(const guard&) = delete;
        guard& operator=(const guard&) = delete;
        ~guard() { state->done.Notify(); }
    };
    auto notify = std::make_shared<guard>(state);
    post(service, [notify, body = std::move(body)]() mutable {
        notify->state->value = body();
        notify.reset();
    });
    notify.reset();
    state->done.WaitForNotification();
    return std::move(state->value);
}

} // namespace ospreystage
