#include <ospreystage/requests/prompt_prefix.hpp>

#include <catch2/catch.hpp>

using namespace ospreystage;

namespace {

const digest version(64, 'a');
const std::string block = "0123456789abcdef0123456789abcdef";

nlohmann::json chat(const std::vector<std::string>& contents) {
    nlohmann::json messages = nlohmann::json::array();
    for (const std::string& content : contents)
        messages.push_back({{"role", "user"}, {"content", content}});
    return {{"model", "desk-llm"}, {"messages", messages}};
}

/// Returns the number of a block as in the cache events of an engine.
std::uint64_t engine_number(const std::string& text) {
    return engine_block_number(sha256(version + text).substr(0, 16));
}

} // namespace

TEST_CASE("prompt prefix - the first block starts the joined messages") {
    CHECK(first_prompt_block(chat({block + "rest"})) == block);
    CHECK(first_prompt_block(chat({"short", block})) ==
          "short\n" + block.substr(0, 26));
    CHECK(first_prompt_block(chat({"short"})).empty());
    CHECK(first_prompt_block(nlohmann::json(1)).empty());
    CHECK(prefix_hash("") == 0);
}

TEST_CASE("prompt prefix - an engine's block maps to the hash of entries") {
    prefix_map known;
    known.record(version, chat({block + "rest"}).dump());
    const auto found = known.translate({1, engine_number(block)});
    REQUIRE(found.size() == 1);
    CHECK(found.front() ==
          prefix_hash(first_prompt_block(chat({block + "another"}))));
}

TEST_CASE("prompt prefix - malformed prompts and hashes are ignored") {
    prefix_map known;
    known.record(version, "not json");
    known.record(version, chat({"short"}).dump());
    CHECK(known.translate({engine_number(block), 0}).empty());
    CHECK(engine_block_number("xyz") == 0);
    CHECK(engine_block_number("not hexadecimal at all") == 0);
}
