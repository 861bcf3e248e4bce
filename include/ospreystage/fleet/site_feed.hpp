#pragma once

#include <ospreystage/core/kernel.hpp>
#include <ospreystage/fleet/feed_selection.hpp>
#include <ospreystage/fleet/site_copy.hpp>
#include <ospreystage/http/web_client.hpp>
#include <ospreystage/http/web_server.hpp>

#include <absl/container/flat_hash_map.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace ospreystage {

/// Exchanges the state of the site between the entries of a region over HTTP.
///
/// Serves this entry's `site_copy` to others, and brings it up to date from the
/// region's readers, in turn, at a fixed interval. While one of them answers
/// slowly, as a large document does over a narrow link, the other one is asked
/// too, and the first whole answer counts. After its start, a reader also asks
/// readers of other regions. Documents are sent in compressed form: every entry
/// of the region gets them at about the same time, over the links that callers'
/// requests use.
class site_feed {
  public:
    using update_handler = std::function<void(const site_copy::applied_parts&)>;

    struct options {
        std::string self;   ///< Name of this entry.
        std::string region; ///< Region of this entry.
        address local;      ///< Every entry listens on the same port.
        feed_selection::options selection;
    };

    site_feed(kernel& core, web_client& client, site_copy& copy,
              options configuration, update_handler on_update);

    /// Starts to listen and to poll; fails if the address is in use.
    [[nodiscard]] leaf::result<void> start();

    /// Takes over the entries of the copy after they have changed.
    void on_entries_changed();

    [[nodiscard]] feed_selection& selection() noexcept { return selection_; }

  private:
    /// A request to a reader that has not ended.
    struct open_request {
        call_id call{};
        std::string source;
        instant started{};
        bool is_answering = false; ///< Its answer is arriving.
    };

    /// A text of a document and its compressed form, which many entries get.
    struct compressed_text {
        std::string text;
        std::string compressed;
    };

    /// What an entry that was asked has answered.
    struct source_record {
        instant answered_at{};
        std::optional<instant> read_at; ///< Of its state, if it had any.
    };

    void schedule_poll();
    void poll();
    /// Requests the state from each source without an open request.
    void request_from_all(const std::vector<std::string>& sources, instant now);
    void request_from_next(const std::vector<std::string>& sources,
                           instant now);
    /// Logs the sources once the state is too old.
    void check_age(instant now);
    [[nodiscard]] std::optional<std::string>
    choose_source(const std::vector<std::string>& sources, instant now);
    void request(const std::string& source, const address& reader, instant now);
    void on_answered(const std::string& source, instant requested_at);
    void on_changes(const std::string& source, instant requested_at,
                    const http_response& response);
    [[nodiscard]] http_response answer(const http_request& request);
    /// Replaces the texts of documents by their compressed forms.
    void compress_documents(std::vector<site_document>& documents);

    kernel& core_;
    web_client& client_;
    site_copy& copy_;
    options options_;
    feed_selection selection_;
    update_handler on_update_;
    web_server server_;
    std::size_t next_source_ = 0;
    std::vector<open_request> requests_;
    absl::flat_hash_map<std::string, source_record> answers_;
    absl::flat_hash_map<std::string, compressed_text> compressed_; ///< By key.
    bool is_outdated_ = false;
    /// Readers that another one has overtaken are asked again from then on.
    absl::flat_hash_map<std::string, instant> avoided_until_;
};

} // namespace ospreystage
