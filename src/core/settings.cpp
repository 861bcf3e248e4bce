#include <ospreystage/core/settings.hpp>
#include <ospreystage/impl/table_reader.hpp>

#include <fmt/format.h>

#include <fstream>
#include <set>
#include <sstream>

namespace ospreystage {

namespace {

using impl::table_reader;

constexpr std::uint64_t max_link_bytes_per_second = 1'000'000'000'000;
constexpr std::uint32_t max_origin_copies = 16;
constexpr std::uint32_t max_origin_readers = 256;
constexpr std::uint32_t max_origin_requests = 16;
constexpr std::uint32_t max_threads = 4096;
constexpr std::uint32_t max_queue_length = 100'000;
constexpr std::size_t max_body_size = 4 * 1024 * 1024;
constexpr std::size_t max_witnesses = 15;

bool is_url(const std::string& text) {
    const std::string scheme = "http://";
    return text.starts_with(scheme) &&
           parse_address(text.substr(scheme.size())).has_value();
}

std::string read_url(table_reader& section, const char* key, bool required) {
    std::string value = required ? section.text(key) : section.text(key, "");
    if (!value.empty() && !is_url(value))
        section.report(key, "must be \"http://host:port\"");
    return value;
}

settings::process_section read_process(table_reader section) {
    settings::process_section out;
    out.role = section.choice("role", {"entry", "agent"}) == "entry"
                   ? process_role::entry
                   : process_role::agent;
    out.name = section.text("name");
    out.vm = section.text("vm");
    out.data_centre = section.text("data_centre");
    out.region = section.text("region");
    out.log_level =
        section.choice("log_level", {"trace", "debug", "info", "warn", "error"},
                       out.log_level);
    section.finish();
    return out;
}

settings::listen_section read_listen(table_reader section) {
    settings::listen_section out;
    out.http = section.endpoint("http");
    out.peer = section.endpoint("peer");
    out.http_threads =
        section.number32("http_threads", 2, max_threads, out.http_threads);
    if (out.http == out.peer)
        section.report("peer", "must differ from listen.http");
    section.finish();
    return out;
}

std::vector<witness_settings> read_witnesses(table_reader& section) {
    std::vector<witness_settings> out;
    std::set<std::string> names;
    for (table_reader& reader : section.tables("witnesses")) {
        witness_settings witness;
        witness.name = reader.text("name");
        witness.peer = reader.endpoint("peer");
        if (!names.insert(witness.name).second)
            reader.report("name", "must be unique among the witnesses");
        reader.finish();
        out.push_back(witness);
    }
    if (out.empty() || out.size() > max_witnesses)
        section.report("witnesses", fmt::format("must contain 1 to {} entries",
                                                max_witnesses));
    return out;
}

settings::cluster_section read_cluster(table_reader section) {
    using std::chrono::hours;
    using std::chrono::minutes;
    settings::cluster_section out;
    out.token = section.text("token");
    out.witnesses = read_witnesses(section);
    out.heartbeat_interval =
        section.duration("heartbeat_interval", milliseconds(50), seconds(10),
                         out.heartbeat_interval);
    out.silence_timeout = section.duration("silence_timeout", milliseconds(200),
                                           minutes(1), out.silence_timeout);
    if (out.silence_timeout < 2 * out.heartbeat_interval)
        section.report("silence_timeout",
                       "must be at least twice cluster.heartbeat_interval");
    out.gossip_interval = section.duration("gossip_interval", milliseconds(50),
                                           seconds(10), out.gossip_interval);
    out.claim_retention = section.duration("claim_retention", seconds(10),
                                           hours(24), out.claim_retention);
    out.entry_answer_ttl =
        section.duration("entry_answer_ttl", milliseconds(100), seconds(3),
                         out.entry_answer_ttl);
    out.agents_per_entry = section.number32("agents_per_entry", 2, max_threads,
                                            out.agents_per_entry);
    section.finish();
    return out;
}

settings::platform_section read_platform(table_reader section) {
    settings::platform_section out;
    out.kv_url = read_url(section, "kv_url", true);
    out.vm_list_url = read_url(section, "vm_list_url", false);
    out.watchers_per_data_centre = section.number32(
        "watchers_per_data_centre", 1, 16, out.watchers_per_data_centre);
    out.call_timeout = section.duration("call_timeout", milliseconds(50),
                                        seconds(30), out.call_timeout);
    out.vm_list_interval =
        section.duration("vm_list_interval", milliseconds(100), seconds(60),
                         out.vm_list_interval);
    section.finish();
    return out;
}

settings::backend_server_section read_backend_server(table_reader section,
                                                     bool required) {
    settings::backend_server_section out;
    out.url = read_url(section, "url", required);
    out.kind = section.choice("kind", {"engine", "plain"}, out.kind);
    out.capacity = section.number32("capacity", 1, max_threads, out.capacity);
    out.queue = section.number32("queue", 0, max_queue_length, out.queue);
    out.checks_fencing = section.flag("checks_fencing", out.checks_fencing);
    section.finish();
    return out;
}

settings::distribution_section read_distribution(table_reader section) {
    settings::distribution_section out;
    out.chunk_folder = section.text("chunk_folder", "");
    out.link_bytes_per_second =
        section.number("link_bytes_per_second", 0, max_link_bytes_per_second,
                       out.link_bytes_per_second);
    out.shared_directions =
        section.flag("shared_directions", out.shared_directions);
    out.origin_copies = section.number32("origin_copies", 1, max_origin_copies,
                                         out.origin_copies);
    out.origin_readers = section.number32(
        "origin_readers", 1, max_origin_readers, out.origin_readers);
    out.origin_requests = section.number32(
        "origin_requests", 1, max_origin_requests, out.origin_requests);
    out.baseline =
        section.choice("baseline", {"none", "direct", "tree"}, out.baseline);
    section.finish();
    return out;
}

settings::requests_section read_requests(table_reader section) {
    settings::requests_section out;
    out.queue = section.number32("queue", 1, max_queue_length, out.queue);
    out.retry_percent =
        section.number32("retry_percent", 0, 100, out.retry_percent);
    out.routing = section.choice(
        "routing", {"two_choice", "round_robin", "random"}, out.routing);
    out.max_body_bytes = section.number("max_body_bytes", 1024, max_body_size,
                                        out.max_body_bytes);
    section.finish();
    return out;
}

std::vector<operator_settings> read_operators(table_reader& root) {
    std::vector<operator_settings> out;
    for (table_reader& reader : root.tables("operators")) {
        operator_settings account;
        account.name = reader.text("name");
        account.token = reader.text("token");
        account.organisations = reader.texts("organisations");
        reader.finish();
        out.push_back(std::move(account));
    }
    return out;
}

settings read_root(table_reader& root) {
    settings out;
    out.process = read_process(root.table("process"));
    const bool is_agent = out.process.role == process_role::agent;
    out.listen = read_listen(root.table("listen"));
    out.cluster = read_cluster(root.table("cluster"));
    out.platform = read_platform(root.table("platform"));
    out.backend_server =
        read_backend_server(root.table("backend_server"), is_agent);
    table_reader origin = root.table("origin");
    out.origin.url = read_url(origin, "url",
                              is_agent && out.backend_server.kind == "engine");
    origin.finish();
    out.distribution = read_distribution(root.table("distribution"));
    out.requests = read_requests(root.table("requests"));
    out.operators = read_operators(root);
    root.finish();
    return out;
}

} // namespace

leaf::result<settings> parse_settings(const std::string& toml,
                                      const std::string& file) {
    try {
        const toml::table parsed = toml::parse(toml, file);
        std::optional<error> first_error;
        table_reader root(&parsed, "", file, first_error);
        settings value = read_root(root);
        if (first_error)
            return leaf::new_error(*first_error);
        return value;
    } catch (const toml::parse_error& problem) {
        return fail(error_code::malformed, "settings.parse", file,
                    fmt::format("{}:{}: {}", file, problem.source().begin.line,
                                problem.description()));
    }
}

leaf::result<settings> load_settings(const std::string& file) {
    const std::ifstream in(file);
    if (!in)
        return fail(error_code::not_found, "settings.load", file,
                    "cannot read " + file);
    std::ostringstream text;
    text << in.rdbuf();
    return parse_settings(text.str(), file);
}

} // namespace ospreystage
