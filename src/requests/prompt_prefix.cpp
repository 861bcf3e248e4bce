#include <ospreystage/impl/bounded_json.hpp>
#include <ospreystage/requests/prompt_prefix.hpp>

namespace ospreystage {

namespace {

/// Maximum number of recorded blocks; the oldest are evicted.
constexpr std::size_t max_prefixes = 4096;

/// Hexadecimal digits of an engine's block hash.
constexpr std::size_t engine_hash_digits = 16;

/// Hexadecimal digits of a hash that form its number.
constexpr std::size_t number_digits = 15;

constexpr int hexadecimal = 16;

std::uint64_t to_number(const std::string& hash) {
    return std::stoull(hash.substr(0, number_digits), nullptr, hexadecimal);
}

} // namespace

std::string first_prompt_block(const nlohmann::json& body) {
    std::string prompt;
    if (!body.is_object())
        return prompt;
    const auto messages = body.find("messages");
    if (messages == body.end() || !messages->is_array())
        return prompt;
    for (const auto& message : *messages) {
        if (!message.is_object() || !message.contains("content") ||
            !message["content"].is_string())
            return "";
        if (!prompt.empty())
            prompt += '\n';
        prompt += message["content"].get_ref<const std::string&>();
        if (prompt.size() >= prompt_block_bytes)
            return prompt.substr(0, prompt_block_bytes);
    }
    return "";
}

std::uint64_t prefix_hash(const std::string& block) {
    return block.empty() ? 0 : to_number(sha256(block));
}

std::uint64_t engine_block_number(const std::string& hash) {
    const bool hexadecimal_only =
        hash.find_first_not_of("0123456789abcdef") == std::string::npos;
    return hash.size() < number_digits || !hexadecimal_only ? 0
                                                            : to_number(hash);
}

std::uint64_t engine_block_number(const digest& version,
                                  const std::string& block) {
    return engine_block_number(
        sha256(version + block).substr(0, engine_hash_digits));
}

void prefix_map::record(const digest& version, const std::string& body) {
    const std::string block = first_prompt_block(impl::parse_json(body));
    if (block.empty())
        return;
    const std::uint64_t number = engine_block_number(version, block);
    if (!prefixes_.emplace(number, prefix_hash(block)).second)
        return;
    insertion_order_.push_back(number);
    if (insertion_order_.size() <= max_prefixes)
        return;
    prefixes_.erase(insertion_order_.front());
    insertion_order_.pop_front();
}

std::vector<std::uint64_t>
prefix_map::translate(const std::vector<std::uint64_t>& blocks) const {
    std::vector<std::uint64_t> known;
    for (const std::uint64_t block : blocks) {
        const auto found = prefixes_.find(block);
        if (found != prefixes_.end())
            known.push_back(found->second);
    }
    return known;
}

} // namespace ospreystage
