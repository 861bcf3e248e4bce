#include <fmt/format.h>
#include <tests/support/fleet_options.hpp>

namespace ospreystage::support {

namespace {

std::string duration_text(milliseconds value) {
    return fmt::format("\"{}ms\"", value.count());
}

std::string process_text(const fleet_options& options,
                         const fleet_member& member) {
    return fmt::format("[process]\n"
                       "role = \"{}\"\n"
                       "name = \"{}\"\n"
                       "vm = \"{}\"\n"
                       "data_centre = \"{}\"\n"
                       "region = \"{}\"\n"
                       "log_level = \"{}\"\n\n"
                       "[listen]\n"
                       "http = \"{}\"\n"
                       "peer = \"{}\"\n"
                       "http_threads = {}\n\n",
                       member.agent ? "agent" : "entry", member.name,
                       member.name, member.data_centre, options.region,
                       options.log_level, to_string(member.http),
                       to_string(member.peer), options.http_threads);
}

std::string cluster_text(const fleet_options& options,
                         const std::vector<witness_settings>& witnesses) {
    std::string list;
    for (const witness_settings& witness : witnesses)
        list += fmt::format("    {{ name = \"{}\", peer = \"{}\" }},\n",
                            witness.name, to_string(witness.peer));
    return fmt::format("[cluster]\n"
                       "token = \"{}\"\n"
                       "witnesses = [\n{}]\n"
                       "heartbeat_interval = {}\n"
                       "silence_timeout = {}\n"
                       "gossip_interval = {}\n"
                       "claim_retention = {}\n"
                       "entry_answer_ttl = {}\n\n",
                       options.token, list,
                       duration_text(options.heartbeat_interval),
                       duration_text(options.silence_timeout),
                       duration_text(options.gossip_interval),
                       duration_text(options.claim_retention),
                       duration_text(options.entry_answer_ttl));
}

std::string platform_text(const fleet_options& options,
                          const platform_urls& platform) {
    return fmt::format("[platform]\n"
                       "kv_url = \"{}\"\n"
                       "vm_list_url = \"{}\"\n"
                       "call_timeout = {}\n"
                       "vm_list_interval = {}\n\n",
                       platform.kv, platform.vms,
                       duration_text(options.call_timeout),
                       duration_text(options.vm_list_interval));
}

std::string agent_text(const fleet_options& options, const fleet_member& member,
                       const platform_urls& platform) {
    return fmt::format("[origin]\n"
                       "url = \"{}\"\n\n"
                       "[backend_server]\n"
                       "url = \"{}\"\n"
                       "kind = \"{}\"\n"
                       "capacity = {}\n"
                       "queue = {}\n"
                       "checks_fencing = {}\n\n"
                       "[distribution]\n"
                       "chunk_folder = \"{}/chunks-{}\"\n"
                       "link_bytes_per_second = {}\n"
                       "shared_directions = {}\n"
                       "origin_copies = {}\n"
                       "baseline = \"{}\"\n",
                       platform.origin, member.backend_url, member.backend_kind,
                       options.capacity, options.queue, options.fencing,
                       options.run_folder, member.name,
                       options.link_bytes_per_second, options.shared_directions,
                       options.origin_copies, options.baseline);
}

std::string entry_text(const fleet_options& options) {
    std::string text = fmt::format("[requests]\n"
                                   "routing = \"{}\"\n",
                                   options.routing);
    for (const operator_settings& item : options.operators) {
        std::string names;
        for (const std::string& name : item.organisations)
            names += fmt::format("\"{}\", ", name);
        text += fmt::format("\n[[operators]]\n"
                            "name = \"{}\"\n"
                            "token = \"{}\"\n"
                            "organisations = [{}]\n",
                            item.name, item.token, names);
    }
    return text;
}

} // namespace

std::string settings_text(const fleet_options& options,
                          const fleet_member& member,
                          const std::vector<witness_settings>& witnesses,
                          const platform_urls& platform) {
    const std::string role = member.agent
                                 ? agent_text(options, member, platform)
                                 : entry_text(options);
    return process_text(options, member) + cluster_text(options, witnesses) +
           platform_text(options, platform) + role;
}

} // namespace ospreystage::support
