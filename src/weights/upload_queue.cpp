#include <ospreystage/weights/upload_queue.hpp>

#include <algorithm>

namespace ospreystage {

namespace {

/// Number of later requests that may overtake a request for each time its chunk
/// was sent.
constexpr std::uint64_t sequence_penalty_per_upload = 4;

} // namespace

void upload_queue::push(serve_chunk request) {
    for (auto& [pending, sequence] : pending_) {
        if (pending.peer == request.peer && pending.index == request.index &&
            pending.version == request.version) {
            pending = std::move(request);
            return;
        }
    }
    pending_.push_back({std::move(request), next_sequence_++});
}

std::optional<serve_chunk> upload_queue::pop() {
    if (pending_.empty())
        return std::nullopt;
    const auto effective_sequence = [this](const pending_request& entry) {
        return entry.sequence +
               sequence_penalty_per_upload * times_sent(entry.request);
    };
    const auto chosen = std::min_element(
        pending_.begin(), pending_.end(),
        [&](const pending_request& left, const pending_request& right) {
            if (left.request.priority != right.request.priority)
                return left.request.priority > right.request.priority;
            return effective_sequence(left) < effective_sequence(right);
        });
    serve_chunk request = std::move(chosen->request);
    pending_.erase(chosen);
    ++sent_[{request.version, request.index}];
    return request;
}

void upload_queue::drop_peer(const std::string& peer) {
    std::erase_if(pending_, [&](const pending_request& entry) {
        return entry.request.peer == peer;
    });
}

void upload_queue::drop_version(const digest& version) {
    std::erase_if(pending_, [&](const pending_request& entry) {
        return entry.request.version == version;
    });
    absl::erase_if(
        sent_, [&](const auto& entry) { return entry.first.first == version; });
}

std::uint32_t upload_queue::times_sent(const serve_chunk& request) const {
    const auto found = sent_.find({request.version, request.index});
    return found == sent_.end() ? 0 : found->second;
}

} // namespace ospreystage
