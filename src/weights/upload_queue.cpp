#include <ospreystage/weights/upload_queue.hpp>

#include <algorithm>

namespace ospreystage {

namespace {

/// Later requests that a request lets pass for each time its chunk was sent.
constexpr std::uint64_t passes_per_copy = 4;

} // namespace

void upload_queue::push(serve_chunk request) {
    for (auto& [present, sequence] : waiting_) {
        if (present.peer == request.peer && present.index == request.index &&
            present.version == request.version) {
            present = std::move(request);
            return;
        }
    }
    waiting_.push_back({std::move(request), next_sequence_++});
}

std::optional<serve_chunk> upload_queue::pop() {
    if (waiting_.empty())
        return std::nullopt;
    const auto turn = [this](const waiting_request& entry) {
        return entry.sequence + passes_per_copy * times_sent(entry.request);
    };
    const auto chosen = std::min_element(
        waiting_.begin(), waiting_.end(),
        [&](const waiting_request& left, const waiting_request& right) {
            if (left.request.priority != right.request.priority)
                return left.request.priority > right.request.priority;
            return turn(left) < turn(right);
        });
    serve_chunk request = std::move(chosen->request);
    waiting_.erase(chosen);
    ++sent_[{request.version, request.index}];
    return request;
}

void upload_queue::drop_peer(const std::string& peer) {
    std::erase_if(waiting_, [&](const waiting_request& entry) {
        return entry.request.peer == peer;
    });
}

void upload_queue::drop_version(const digest& version) {
    std::erase_if(waiting_, [&](const waiting_request& entry) {
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
