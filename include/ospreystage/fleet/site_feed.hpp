#pragma once

#include <ospreystage/core/kernel.hpp>
#include <ospreystage/fleet/feed_selection.hpp>
#include <ospreystage/fleet/site_copy.hpp>
#include <ospreystage/http/web_client.hpp>
#include <ospreystage/http/web_server.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>

namespace ospreystage {

/// Exchanges the state of the site between the entries of a region over HTTP.
///
/// Serves this entry's `site_copy` to others, and brings it up to date from the
/// region's readers, in turn, at a fixed interval.
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
    void poll();
    void on_changes(const std::string& source, instant requested_at,
                    const http_response& response);
    [[nodiscard]] http_response answer(const http_request& request);

    kernel& core_;
    web_client& client_;
    site_copy& copy_;
    options options_;
    feed_selection selection_;
    update_handler on_update_;
    web_server server_;
    std::size_t next_source_ = 0;
    bool is_polling_ = false;
};

} // namespace ospreystage
