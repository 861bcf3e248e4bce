#include <ospreystage/core/signal_watch.hpp>

#include <sys/epoll.h>
#include <sys/signalfd.h>
#include <unistd.h>

#include <csignal>
#include <cstdint>
#include <utility>

namespace ospreystage {

signal_watch::signal_watch(kernel& core, std::function<void()> stop,
                           std::function<void()> reload)
    : core_(core) {
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, SIGHUP);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    descriptor_ = signalfd(-1, &signals, SFD_NONBLOCK | SFD_CLOEXEC);
    core_.watch(descriptor_, EPOLLIN,
                [this, stop = std::move(stop),
                 reload = std::move(reload)](std::uint32_t) {
                    signalfd_siginfo received{};
                    while (read(descriptor_, &received, sizeof(received)) > 0)
                        received.ssi_signo == SIGHUP ? reload() : stop();
                });
}

signal_watch::~signal_watch() {
    core_.unwatch(descriptor_);
    close(descriptor_);
}

} // namespace ospreystage
