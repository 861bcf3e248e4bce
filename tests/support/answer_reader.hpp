#pragma once

#include <nlohmann/json.hpp>
#include <tests/support/caller.hpp>

#include <string>
#include <string_view>

namespace ospreystage::support {

/// Reads a chat answer as it arrives, streamed or whole.
class answer_reader {
  public:
    answer_reader(bool stream, instant began)
        : stream_(stream), began_(began), last_token_(began) {}

    /// Takes bytes of the body that arrived at `now`.
    void receive(std::string_view bytes, instant now);

    /// Fills in what was read; `complete` tells that the body ended in order.
    ///
    /// Returns a refusal, `served` for a whole answer with unchecked tokens,
    /// or `cut`.
    [[nodiscard]] call_result finish(int status, bool complete,
                                     call_outcome& outcome);

  private:
    void take_event(const std::string& event, instant now);
    void add_tokens(const std::string& content);
    [[nodiscard]] call_result finish_stream(bool complete,
                                            call_outcome& outcome);
    [[nodiscard]] call_result finish_whole(bool complete,
                                           call_outcome& outcome);

    bool stream_;
    instant began_;
    instant last_token_;
    std::string buffer_;
    std::vector<std::string> tokens_;
    std::optional<microseconds> first_token_;
    std::vector<microseconds> token_gaps_;
    nlohmann::json error_;
    bool done_ = false;
};

/// Reads a refusal `{"error":{"outcome":..}}`; returns nothing if `body` is
/// none.
[[nodiscard]] std::optional<call_result>
read_refusal(const nlohmann::json& body, call_outcome& outcome);

} // namespace ospreystage::support
