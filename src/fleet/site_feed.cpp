#include <ospreystage/core/compression.hpp>
#include <ospreystage/core/log.hpp>
#include <ospreystage/fleet/site_feed.hpp>

#include <absl/strings/numbers.h>
#include <absl/strings/str_join.h>
#include <absl/strings/str_split.h>
#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <map>
#include <utility>

namespace ospreystage {

namespace {

constexpr const char* service_name = "site_feed";
constexpr const char* target = "/v1/site";
/// In a request, the digest of the list of servers that the entry holds, in
/// hexadecimal; in the answer, that the list is still this one and left out.
/// Entries of earlier releases ignore it and answer with the list.
constexpr const char* servers_field = "Ospreystage-Servers";
/// In a request and its answer, the eras of the documents, entries and servers,
/// separated by commas. Entries of earlier releases do not send it.
constexpr const char* eras_field = "Ospreystage-Eras";
/// In an answer, the time in milliseconds for which the lists of servers have
/// come without a gap. Entries of earlier releases do not send it.
constexpr const char* unbroken_field = "Ospreystage-Unbroken-Ms";
/// In a request, that the texts of documents may come in compressed form; in
/// the answer, that all of them do. Entries of earlier releases do not send it.
constexpr const char* documents_field = "Ospreystage-Documents";
constexpr const char* compressed_documents = "zlib";
/// In an answer, that documents are arriving from the store at the sender.
/// Entries of earlier releases do not send it.
constexpr const char* receiving_field = "Ospreystage-Receiving";
constexpr const char* receiving_documents = "documents";
/// In an answer, the times in milliseconds for which servers stay cold, as
/// ID=TIME, separated by spaces; ID= for servers that do not say, and nothing
/// for those that are warm. Entries of earlier releases do not send it.
constexpr const char* cold_field = "Ospreystage-Cold-Ms";
/// Longest such time that counts, so that its beginning can be represented.
constexpr milliseconds max_unbroken = std::chrono::hours(24);
constexpr milliseconds max_cold = std::chrono::hours(24 * 365);
constexpr milliseconds poll_interval{200};
/// While the state is too old: interval, and sources asked each time beside a
/// reader. Any of them may be as old, so the search must not take one at a
/// time.
constexpr milliseconds search_interval{100};
constexpr int sources_per_search = 2;
constexpr milliseconds connect_timeout{300};
/// Longest time without data from a reader; then the next one is asked.
constexpr milliseconds idle_timeout{400};
constexpr milliseconds total_timeout{5000};
/// A request that takes longer is joined by one to another reader.
constexpr milliseconds hedge_delay{400};
/// A reader that was overtaken is not preferred for this long.
constexpr milliseconds avoidance_time{3000};
/// Largest answer: the whole state of the store that entries keep.
constexpr std::size_t max_changes_bytes = 16 * 1024 * 1024;
/// Total size of the texts of compressed documents.
constexpr std::size_t max_documents_bytes = 32 * 1024 * 1024;
constexpr std::uint16_t status_ok = 200;
constexpr std::uint16_t status_bad_request = 400;

std::optional<std::uint64_t> read_digest(const http_fields& fields) {
    std::uint64_t value = 0;
    if (!absl::SimpleHexAtoi(field_value(fields, servers_field), &value))
        return std::nullopt;
    return value;
}

std::optional<milliseconds> read_unbroken(const http_fields& fields) {
    std::int64_t count = 0;
    if (!absl::SimpleAtoi(field_value(fields, unbroken_field), &count) ||
        count < 0)
        return std::nullopt;
    return std::min(milliseconds(count), max_unbroken);
}

void write_eras(http_fields& fields, const site_revisions& revisions) {
    fields.push_back(
        {eras_field,
         fmt::format("{},{},{}", revisions.documents.era, revisions.entries.era,
                     revisions.servers.era)});
}

/// Reads the eras of a request or an answer; returns false if it names none.
bool read_eras(const http_fields& fields, site_revisions& revisions) {
    const std::vector<std::string> parts =
        absl::StrSplit(field_value(fields, eras_field), ',');
    std::array<std::int64_t, 3> eras{};
    if (parts.size() != eras.size())
        return false;
    for (std::size_t index = 0; index < eras.size(); ++index)
        if (!absl::SimpleAtoi(parts[index], &eras[index]) || eras[index] < 0)
            return false;
    revisions.documents.era = eras[0];
    revisions.entries.era = eras[1];
    revisions.servers.era = eras[2];
    return true;
}

void write_cold(http_fields& fields, const cold_statements& cold) {
    std::vector<std::string> parts;
    parts.reserve(cold.size());
    for (const auto& [id, remaining] : cold)
        parts.push_back(id + "=" +
                        (remaining ? std::to_string(remaining->count()) : ""));
    std::sort(parts.begin(), parts.end());
    fields.push_back({cold_field, absl::StrJoin(parts, " ")});
}

/// Reads the times of cold servers; nothing if the answer does not name them or
/// they are unreadable.
std::optional<cold_statements> read_cold(const http_fields& fields) {
    const std::string* value = find_field(fields, cold_field);
    if (value == nullptr)
        return std::nullopt;
    cold_statements result;
    const std::vector<std::string> parts =
        absl::StrSplit(*value, ' ', absl::SkipEmpty());
    for (const std::string& part : parts) {
        const std::size_t end = part.rfind('=');
        if (end == std::string::npos)
            return std::nullopt;
        auto& remaining = result[part.substr(0, end)];
        std::int64_t count = 0;
        if (end + 1 == part.size())
            continue;
        if (!absl::SimpleAtoi(part.substr(end + 1), &count) || count < 0 ||
            milliseconds(count) > max_cold)
            return std::nullopt;
        remaining = milliseconds(count);
    }
    return result;
}

void write_digest(http_fields& fields, std::uint64_t value) {
    fields.push_back({servers_field, fmt::format("{:x}", value)});
}

bool has_compressed_documents(const http_fields& fields) {
    return field_value(fields, documents_field) == compressed_documents;
}

/// Replaces compressed texts by the texts themselves.
leaf::result<void> decompress_documents(std::vector<site_document>& documents,
                                        const std::string& peer) {
    std::size_t remaining = max_documents_bytes;
    for (site_document& document : documents) {
        BOOST_LEAF_ASSIGN(document.text, decompress(document.text, remaining,
                                                    "site.documents", peer));
        remaining -= document.text.size();
    }
    return {};
}

} // namespace

site_feed::site_feed(kernel& core, web_client& client, site_copy& copy,
                     options configuration, update_handler on_update)
    : core_(core), client_(client), copy_(copy),
      options_(std::move(configuration)),
      selection_(options_.self, options_.selection, steady::now()),
      on_update_(std::move(on_update)),
      server_(core, {[this](exchange_id exchange, const http_request& request) {
                         server_.respond(exchange, answer(request));
                     },
                     nullptr, nullptr}) {}

leaf::result<void> site_feed::start() {
    BOOST_LEAF_CHECK(server_.listen(options_.local));
    schedule_poll();
    return {};
}

void site_feed::on_entries_changed() {
    std::vector<std::string> names;
    std::map<std::string, std::vector<std::string>> remote_names;
    for (const auto& [name, entry] : copy_.entries())
        (entry.region == options_.region ? names : remote_names[entry.region])
            .push_back(name);
    absl::erase_if(answers_, [&](const auto& each) {
        return !copy_.entries().contains(each.first);
    });
    selection_.set_entries(std::move(names), remote_names);
    const instant now = steady::now();
    if (selection_.on_entries_known(now))
        request_from_all(selection_.startup_sources(now), now);
}

void site_feed::schedule_poll() {
    core_.after(service_name, is_outdated_ ? search_interval : poll_interval,
                [this] {
                    poll();
                    schedule_poll();
                });
}

void site_feed::poll() {
    const instant now = steady::now();
    check_age(now);
    const auto age = copy_.age(now);
    const bool needs_state = !age || *age >= selection_.max_own_age() ||
                             selection_.is_store_failing();
    // A large answer that is arriving is worth waiting for, however old the
    // state is: others would send the same.
    const bool is_waiting =
        std::ranges::any_of(requests_, [&](const open_request& each) {
            return now - each.started < hedge_delay &&
                   (each.is_answering || !is_outdated_);
        });
    if (!needs_state || is_waiting)
        return;
    if (!is_outdated_) {
        request_from_next(selection_.sources(now), now);
        // Without a state, whichever reader has one first, or is receiving one.
        if (!age)
            request_from_all(selection_.readers(), now);
        request_from_all(selection_.startup_sources(now), now);
        return;
    }
    // The first tier takes over from the readers, but these have the state
    // first once the store answers them again.
    request_from_next(selection_.readers(), now);
    for (int count = 0; count < sources_per_search; ++count)
        request_from_next(selection_.sources(now), now);
}

void site_feed::request_from_all(const std::vector<std::string>& sources,
                                 instant now) {
    for (const std::string& source : sources)
        request_from_next({source}, now);
}

void site_feed::request_from_next(const std::vector<std::string>& sources,
                                  instant now) {
    const auto source = choose_source(sources, now);
    if (!source)
        return;
    const auto found = copy_.entries().find(*source);
    if (found != copy_.entries().end())
        request(*source, {found->second.callers.host, options_.local.port},
                now);
}

void site_feed::check_age(instant now) {
    const auto age = copy_.age(now);
    const bool is_outdated = age && *age > selection_.max_age();
    if (std::exchange(is_outdated_, is_outdated) == is_outdated || !is_outdated)
        return;
    const auto since = [now](instant moment) {
        return (now - moment) / milliseconds(1);
    };
    nlohmann::json sources = nlohmann::json::object();
    for (const auto& [name, answer] : answers_) {
        sources[name]["answered_ms_ago"] = since(answer.answered_at);
        if (answer.read_at)
            sources[name]["state_age_ms"] = since(*answer.read_at);
    }
    for (const open_request& each : requests_)
        sources[each.source]["open_ms"] = since(each.started);
    log_event(log_level::warn, "site_sources_outdated",
              {{"age_ms", age->count()},
               {"is_reader", selection_.is_reader()},
               {"sources", sources}});
}

/// Returns the next source without an open request; one that was overtaken
/// lately only if there is no other.
std::optional<std::string>
site_feed::choose_source(const std::vector<std::string>& sources, instant now) {
    std::optional<std::string> overtaken;
    for (std::size_t count = 0; count < sources.size(); ++count) {
        const std::string& source = sources[next_source_++ % sources.size()];
        const bool is_open = std::any_of(
            requests_.begin(), requests_.end(),
            [&](const open_request& each) { return each.source == source; });
        if (is_open)
            continue;
        const auto avoided = avoided_until_.find(source);
        if (avoided == avoided_until_.end() || avoided->second <= now)
            return source;
        overtaken = source;
    }
    return overtaken;
}

void site_feed::request(const std::string& source, const address& reader,
                        instant now) {
    http_request request;
    request.method = "POST";
    request.target = target;
    write_digest(request.fields, copy_.servers_digest());
    write_eras(request.fields, copy_.revisions());
    request.fields.push_back({documents_field, compressed_documents});
    request.body = encode(copy_.revisions());
    call_options call;
    call.connect_timeout = connect_timeout;
    call.idle_timeout = idle_timeout;
    call.timeout = total_timeout;
    call.max_body_bytes = max_changes_bytes;
    call.began = [this, source] {
        for (open_request& each : requests_)
            each.is_answering |= each.source == source;
    };
    const call_id id = client_.fetch(
        reader, request, call,
        [this, source, now](call_end end, const http_response& response) {
            std::erase_if(requests_, [&](const open_request& each) {
                return each.source == source;
            });
            if (end != call_end::complete || response.status != status_ok)
                return;
            on_changes(source, now, response);
        });
    requests_.push_back({id, source, now});
}

/// Cancels the requests that a current answer to a later one has overtaken. An
/// answer that is as old as the state held replaces none that may be current.
void site_feed::on_answered(const std::string& source, instant requested_at) {
    avoided_until_.erase(source);
    std::erase_if(requests_, [&](const open_request& each) {
        if (each.started >= requested_at)
            return false;
        client_.cancel(each.call);
        avoided_until_[each.source] = steady::now() + avoidance_time;
        log_event(
            log_level::info, "site_reader_slow",
            {{"reader", each.source},
             {"open_ms", (steady::now() - each.started) / milliseconds(1)},
             {"overtaken_by", source}});
        return true;
    });
}

void site_feed::on_changes(const std::string& source, instant requested_at,
                           const http_response& response) {
    error failure;
    auto changes = value_or_error(
        [&]() -> leaf::result<site_changes> {
            BOOST_LEAF_AUTO(decoded,
                            decode_site_changes(response.body, source));
            if (has_compressed_documents(response.fields))
                BOOST_LEAF_CHECK(
                    decompress_documents(decoded.documents, source));
            return decoded;
        },
        failure);
    if (!changes) {
        log_event(log_level::warn, "site_changes_unreadable",
                  {{"error", to_string(failure)}});
        return;
    }
    changes->unchanged_servers = read_digest(response.fields);
    changes->servers_unbroken = read_unbroken(response.fields);
    changes->cold = read_cold(response.fields);
    read_eras(response.fields, changes->revisions);
    if (field_value(response.fields, receiving_field) == receiving_documents)
        selection_.on_reader_receiving(steady::now());
    const site_copy::applied_parts applied =
        copy_.apply(*changes, requested_at, source);
    source_record& answer = answers_[source];
    answer = {steady::now(), std::nullopt};
    if (changes->documents_age && changes->servers_age) {
        answer.read_at = requested_at - std::max(*changes->documents_age,
                                                 *changes->servers_age);
        selection_.on_state(*answer.read_at);
        if (steady::now() - *answer.read_at <= selection_.max_age())
            on_answered(source, requested_at);
    }
    on_update_(applied);
}

http_response site_feed::answer(const http_request& request) {
    http_response response;
    error failure;
    auto known = value_or_error(
        [&] { return decode_site_revisions(request.body, "entry"); }, failure);
    if (request.target != target || !known) {
        response.status = status_bad_request;
        return response;
    }
    const instant now = steady::now();
    selection_.on_request(now);
    // An entry of an earlier release compares revisions alone.
    if (!read_eras(request.fields, *known)) {
        known->documents.era = copy_.revisions().documents.era;
        known->entries.era = copy_.revisions().entries.era;
        known->servers.era = copy_.revisions().servers.era;
    }
    site_changes changes =
        copy_.changes_since(*known, now, read_digest(request.fields));
    const bool is_compressed = has_compressed_documents(request.fields);
    if (is_compressed)
        compress_documents(changes.documents);
    response = text_response("application/octet-stream", encode(changes));
    write_eras(response.fields, changes.revisions);
    if (changes.unchanged_servers)
        write_digest(response.fields, *changes.unchanged_servers);
    if (changes.cold)
        write_cold(response.fields, *changes.cold);
    if (changes.servers_unbroken)
        response.fields.push_back(
            {unbroken_field,
             std::to_string(changes.servers_unbroken->count())});
    if (is_compressed)
        response.fields.push_back({documents_field, compressed_documents});
    if (selection_.is_receiving())
        response.fields.push_back({receiving_field, receiving_documents});
    return response;
}

void site_feed::compress_documents(std::vector<site_document>& documents) {
    absl::erase_if(compressed_, [&](const auto& each) {
        return !copy_.has_document(each.first);
    });
    for (site_document& document : documents) {
        compressed_text& known = compressed_[document.key];
        if (known.compressed.empty() || known.text != document.text)
            known = {document.text, compress(document.text)};
        document.text = known.compressed;
    }
}

} // namespace ospreystage
