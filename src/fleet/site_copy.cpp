#include <ospreystage/core/stable_hash.hpp>
#include <ospreystage/fleet/site_copy.hpp>
#include <ospreystage/impl/decode.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace ospreystage {

// ---- Encoding --------------------------------------------------------------

template <typename Archive>
void serialize(Archive& archive, held_layers& value) {
    archive(value.from, value.to, value.version);
}

template <typename Archive>
void serialize(Archive& archive, backend_server& value) {
    archive(value.id, value.service, value.endpoint, value.data_centre,
            value.slots, value.is_draining, value.started_unix_ms,
            value.layers);
}

template <typename Archive>
void serialize(Archive& archive, site_document& value) {
    archive(value.key, value.text, value.revision);
}

template <typename Archive>
void serialize(Archive& archive, site_entry& value) {
    archive(value.name, value.callers, value.region);
}

template <typename Archive>
void serialize(Archive& archive, site_revisions& value) {
    archive(value.documents.revision, value.entries.revision,
            value.servers.revision);
}

namespace {

/// Greatest age that another entry may state, so that the time of the read can
/// be represented.
constexpr milliseconds max_age = std::chrono::hours(24 * 365);

/// Wire form of an optional age: -1 if there is none.
std::int64_t encode_age(const std::optional<milliseconds>& age) {
    return age ? age->count() : -1;
}

std::uint64_t digest_of(const std::vector<backend_server>& servers) {
    std::string bytes;
    impl::string_output_archive archive(bytes);
    archive(servers);
    return stable_hash(bytes);
}

std::optional<cold_statements>
cold_of(const std::vector<backend_server>& servers) {
    cold_statements result;
    bool has_statement = false;
    for (const backend_server& server : servers) {
        has_statement |= server.cold_remaining.has_value();
        if (server.cold_remaining != milliseconds(0))
            result.emplace(server.id, server.cold_remaining);
    }
    return has_statement ? std::optional(std::move(result)) : std::nullopt;
}

std::optional<milliseconds> decode_age(std::int64_t count) {
    return count < 0 ? std::nullopt : std::optional(milliseconds(count));
}

} // namespace

std::string encode(const site_revisions& known) {
    std::string bytes;
    impl::string_output_archive archive(bytes);
    archive(known);
    return bytes;
}

std::string encode(const site_changes& changes) {
    std::string bytes;
    impl::string_output_archive archive(bytes);
    archive(changes.revisions, encode_age(changes.documents_age),
            encode_age(changes.servers_age),
            encode_age(changes.outage_ended_ago), changes.documents,
            changes.entries, changes.servers);
    return bytes;
}

leaf::result<site_revisions> decode_site_revisions(std::string_view bytes,
                                                   const std::string& peer) {
    return impl::decode_all(bytes, "site.revisions", peer, [](auto& archive) {
        site_revisions known;
        archive(known);
        return known;
    });
}

leaf::result<site_changes> decode_site_changes(std::string_view bytes,
                                               const std::string& peer) {
    const auto decode = [](auto& archive) {
        site_changes changes;
        std::int64_t documents_age = 0;
        std::int64_t servers_age = 0;
        std::int64_t outage_ended_ago = 0;
        archive(changes.revisions, documents_age, servers_age, outage_ended_ago,
                changes.documents, changes.entries, changes.servers);
        changes.documents_age = decode_age(documents_age);
        changes.servers_age = decode_age(servers_age);
        changes.outage_ended_ago = decode_age(outage_ended_ago);
        return changes;
    };
    BOOST_LEAF_AUTO(changes,
                    impl::decode_all(bytes, "site.changes", peer, decode));
    for (const auto& age :
         {changes.documents_age, changes.servers_age, changes.outage_ended_ago})
        if (age && *age > max_age)
            return fail(error_code::malformed, "site.changes", peer,
                        fmt::format("an age of {} ms; the limit is {} ms",
                                    age->count(), max_age.count()));
    return changes;
}

// ---- Observers -------------------------------------------------------------

namespace {

std::optional<milliseconds> elapsed_since(const std::optional<instant>& moment,
                                          instant now) {
    if (!moment)
        return std::nullopt;
    return std::chrono::duration_cast<milliseconds>(now - *moment);
}

std::optional<instant> read_time(const std::optional<state_origin>& origin) {
    return origin ? std::optional(origin->read_at) : std::nullopt;
}

/// Moves `moment` forward to `candidate` if that is later.
void advance_to(std::optional<instant>& moment, instant candidate) {
    if (!moment || *moment < candidate)
        moment = candidate;
}

} // namespace

std::optional<milliseconds> site_copy::age(instant now) const {
    const auto documents = elapsed_since(read_time(documents_origin_), now);
    const auto servers = elapsed_since(servers_read_at_, now);
    if (!documents || !servers)
        return std::nullopt;
    return std::max(*documents, *servers);
}

std::vector<std::string>
site_copy::document_keys(const std::string& prefix) const {
    std::vector<std::string> result;
    for (auto at = documents_.lower_bound(prefix);
         at != documents_.end() && at->first.starts_with(prefix); ++at)
        if (!at->second.text.empty())
            result.push_back(at->first);
    return result;
}

std::vector<site_document>
site_copy::removals(const std::string& prefix,
                    const std::set<std::string>& listed,
                    std::int64_t revision) const {
    std::vector<site_document> result;
    for (std::string& key : document_keys(prefix))
        if (!listed.contains(key))
            result.push_back({std::move(key), "", revision});
    return result;
}

site_changes
site_copy::changes_since(const site_revisions& known, instant now,
                         std::optional<std::uint64_t> known_servers) const {
    site_changes changes;
    changes.revisions = revisions_;
    changes.documents_age = elapsed_since(read_time(documents_origin_), now);
    changes.servers_age = elapsed_since(servers_read_at_, now);
    changes.servers_unbroken = elapsed_since(servers_unbroken_since_, now);
    changes.outage_ended_ago = elapsed_since(outage_ended_at_, now);
    const store_position& documents = revisions_.documents;
    for (const auto& [key, document] : documents_)
        if (store_position(documents.era, document.revision) > known.documents)
            changes.documents.push_back(document);
    if (revisions_.entries > known.entries)
        for (const auto& [name, entry] : entries_)
            changes.entries.push_back(entry);
    if (revisions_.servers > known.servers) {
        if (known_servers == servers_digest_)
            changes.unchanged_servers = servers_digest_;
        else
            changes.servers = servers_;
        changes.cold = cold_of(servers_);
    }
    return changes;
}

// ---- Reads of the store ----------------------------------------------------

void site_copy::on_documents_era(std::int64_t era) {
    if (era <= revisions_.documents.era)
        return;
    documents_.clear();
    revisions_.documents = {era, 0};
}

bool site_copy::on_document(const site_document& document) {
    site_document& held = documents_[document.key];
    if (held.revision >= document.revision)
        return false;
    held = document;
    return true;
}

void site_copy::keep_document(const std::string& key, const std::string& text) {
    const auto [found, is_new] = documents_.try_emplace(key);
    site_document& held = found->second;
    if (is_new)
        held = {key, text, revisions_.documents.revision};
    else if (held.text != text)
        held.text = text;
}

void site_copy::on_documents_read(store_position position, instant read_at,
                                  known_by way, const std::string& source) {
    revisions_.documents = std::max(revisions_.documents, position);
    if (!documents_origin_ || documents_origin_->read_at < read_at)
        documents_origin_ = {revisions_.documents, read_at, source, {}, way};
    documents_origin_->position = revisions_.documents;
}

void site_copy::on_entry(const site_entry& entry) {
    entries_[entry.name] = entry;
}

void site_copy::on_entry_removed(const std::string& name) {
    entries_.erase(name);
}

void site_copy::on_entries_snapshot(const std::vector<site_entry>& entries) {
    entries_.clear();
    for (const site_entry& entry : entries)
        on_entry(entry);
}

void site_copy::on_entries_read(store_position position) {
    revisions_.entries = std::max(revisions_.entries, position);
}

void site_copy::on_servers_read(std::vector<backend_server> listed,
                                store_position position, instant read_at) {
    if (position < revisions_.servers)
        return;
    servers_ = std::move(listed);
    servers_digest_ = digest_of(servers_);
    revisions_.servers = position;
    on_servers_read_at(read_at);
}

/// Takes over what another copy says of cold servers, which its list lacks.
void site_copy::update_cold(const site_changes& changes) {
    for (backend_server& server : servers_) {
        server.cold_remaining.reset();
        if (!changes.cold)
            continue;
        const auto stated = changes.cold->find(server.id);
        server.cold_remaining =
            stated == changes.cold->end() ? milliseconds(0) : stated->second;
    }
}

void site_copy::on_servers_read_at(instant read_at) {
    if (!servers_read_at_ || read_at - *servers_read_at_ > max_list_gap_)
        servers_unbroken_since_ = read_at;
    advance_to(servers_read_at_, read_at);
}

void site_copy::on_outage_ended(instant at) {
    advance_to(outage_ended_at_, at);
}

// ---- Changes from another copy ---------------------------------------------

site_copy::applied_parts site_copy::apply(const site_changes& changes,
                                          instant requested_at,
                                          const std::string& source) {
    applied_parts applied;
    applied.documents_known_at = read_time(documents_origin_);
    const store_position documents = changes.revisions.documents;
    if (documents.era >= revisions_.documents.era) {
        on_documents_era(documents.era);
        for (const site_document& document : changes.documents)
            if (on_document(document))
                applied.documents.push_back(document);
        if (changes.documents_age && documents.revision > 0)
            on_documents_read(documents, requested_at - *changes.documents_age,
                              known_by::entry, source);
    }
    if (changes.revisions.entries > revisions_.entries) {
        on_entries_snapshot(changes.entries);
        on_entries_read(changes.revisions.entries);
        applied.has_entries = true;
    }
    // The list may have changed since the request that said which one is held.
    const bool has_servers = !changes.unchanged_servers ||
                             changes.unchanged_servers == servers_digest_;
    if (changes.servers_age && has_servers &&
        changes.revisions.servers >= revisions_.servers) {
        const instant read_at = requested_at - *changes.servers_age;
        state_origin origin{
            changes.revisions.servers, read_at, source, {}, known_by::entry};
        if (changes.servers_unbroken)
            origin.unbroken_since = requested_at - *changes.servers_unbroken;
        const bool is_newer = changes.revisions.servers > revisions_.servers;
        if (is_newer)
            applied.servers = origin;
        else if (!servers_read_at_ || *servers_read_at_ < read_at)
            applied.confirmed_servers = origin;
        if (is_newer && !changes.unchanged_servers)
            on_servers_read(changes.servers, changes.revisions.servers,
                            read_at);
        if (is_newer)
            update_cold(changes);
        revisions_.servers = changes.revisions.servers;
        on_servers_read_at(read_at);
    }
    if (changes.outage_ended_ago) {
        const instant ended = requested_at - *changes.outage_ended_ago;
        if (!outage_ended_at_ || *outage_ended_at_ < ended)
            applied.outage_ended = ended;
    }
    return applied;
}

} // namespace ospreystage
