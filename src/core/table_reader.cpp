#include <ospreystage/impl/table_reader.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <charconv>

namespace ospreystage::impl {

namespace {

std::optional<milliseconds> parse_duration(const std::string& text) {
    std::uint32_t count = 0;
    const char* last = text.data() + text.size();
    const auto [end, status] = std::from_chars(text.data(), last, count);
    if (status != std::errc())
        return std::nullopt;
    const std::string unit(end, last);
    if (unit == "ms")
        return milliseconds(count);
    if (unit == "s")
        return seconds(count);
    if (unit == "min")
        return std::chrono::minutes(count);
    return std::nullopt;
}

} // namespace

table_reader::table_reader(const toml::table* table, std::string path,
                           const std::string& file,
                           std::optional<error>& first_error)
    : table_(table), path_(std::move(path)), file_(file),
      first_error_(first_error) {}

std::string table_reader::text(const char* key,
                               const std::optional<std::string>& fallback) {
    const toml::node* found = find_node(key);
    if (found == nullptr) {
        if (!fallback)
            report(key, "is missing");
        return fallback.value_or("");
    }
    const auto value = found->value_exact<std::string>();
    if (!value) {
        report(key, "must be a string");
        return fallback.value_or("");
    }
    if (value->empty() && !fallback)
        report(key, "must not be empty");
    return *value;
}

std::string table_reader::choice(const char* key,
                                 const std::vector<std::string>& choices,
                                 const std::optional<std::string>& fallback) {
    std::string value = text(key, fallback);
    if (std::find(choices.begin(), choices.end(), value) == choices.end())
        report(key,
               fmt::format("must be one of: {}", fmt::join(choices, ", ")));
    return value;
}

std::uint64_t table_reader::number(const char* key, std::uint64_t min_value,
                                   std::uint64_t max_value,
                                   std::uint64_t fallback) {
    const toml::node* found = find_node(key);
    if (found == nullptr)
        return fallback;
    const auto value = found->value_exact<std::int64_t>();
    if (!value) {
        report(key, "must be an integer");
        return fallback;
    }
    if (*value < 0 || static_cast<std::uint64_t>(*value) < min_value ||
        static_cast<std::uint64_t>(*value) > max_value) {
        report(key, fmt::format("must be from {} to {}", min_value, max_value));
        return fallback;
    }
    return static_cast<std::uint64_t>(*value);
}

std::uint32_t table_reader::number32(const char* key, std::uint32_t min_value,
                                     std::uint32_t max_value,
                                     std::uint32_t fallback) {
    return static_cast<std::uint32_t>(
        number(key, min_value, max_value, fallback));
}

bool table_reader::flag(const char* key, bool fallback) {
    const toml::node* found = find_node(key);
    if (found == nullptr)
        return fallback;
    const auto value = found->value_exact<bool>();
    if (!value)
        report(key, "must be true or false");
    return value.value_or(fallback);
}

milliseconds table_reader::duration(const char* key, milliseconds min_value,
                                    milliseconds max_value,
                                    milliseconds fallback) {
    const toml::node* found = find_node(key);
    if (found == nullptr)
        return fallback;
    const auto raw = found->value_exact<std::string>();
    const auto value = raw ? parse_duration(*raw) : std::nullopt;
    if (!value) {
        report(key, "must be a duration such as \"500ms\", \"2s\", \"10min\"");
        return fallback;
    }
    if (*value < min_value || *value > max_value)
        report(key, fmt::format("must be from {} ms to {} ms",
                                min_value.count(), max_value.count()));
    return *value;
}

address table_reader::endpoint(const char* key) {
    const std::string raw = text(key);
    const auto value = parse_address(raw);
    if (!value)
        report(key, "must be \"host:port\"");
    return value.value_or(address{});
}

std::vector<std::string> table_reader::texts(const char* key) {
    std::vector<std::string> values;
    const toml::node* found = find_node(key);
    if (found == nullptr)
        return values;
    const toml::array* array = found->as_array();
    if (array == nullptr) {
        report(key, "must be an array of strings");
        return values;
    }
    for (const toml::node& element : *array) {
        const auto value = element.value_exact<std::string>();
        if (!value)
            report(key, "must be an array of strings");
        values.push_back(value.value_or(""));
    }
    return values;
}

std::vector<table_reader> table_reader::tables(const char* key) {
    std::vector<table_reader> readers;
    const toml::node* found = find_node(key);
    if (found == nullptr)
        return readers;
    const toml::array* array = found->as_array();
    if (array == nullptr) {
        report(key, "must be an array of tables");
        return readers;
    }
    std::size_t index = 0;
    for (const toml::node& element : *array) {
        const toml::table* inner = element.as_table();
        if (inner == nullptr)
            report(key, "must be an array of tables");
        readers.emplace_back(inner,
                             fmt::format("{}{}[{}].", path_, key, index++),
                             file_, first_error_);
    }
    return readers;
}

table_reader table_reader::table(const char* key) {
    const toml::node* found = find_node(key);
    const toml::table* inner = found == nullptr ? nullptr : found->as_table();
    if (found != nullptr && inner == nullptr)
        report(key, "must be a table");
    return {inner, path_ + key + ".", file_, first_error_};
}

void table_reader::finish() {
    if (table_ == nullptr)
        return;
    for (const auto& [key, value] : *table_) {
        const std::string name{key.str()};
        if (!read_keys_.contains(name))
            record_error(value.source(), name, "is not a known key");
    }
}

void table_reader::report(const char* key, const std::string& detail) {
    const toml::node* found = table_ == nullptr ? nullptr : table_->get(key);
    if (found != nullptr)
        record_error(found->source(), key, detail);
    else if (table_ != nullptr)
        record_error(table_->source(), key, detail);
    else
        record_error({}, key, detail);
}

const toml::node* table_reader::find_node(const char* key) {
    read_keys_.insert(key);
    return table_ == nullptr ? nullptr : table_->get(key);
}

void table_reader::record_error(const toml::source_region& region,
                                const std::string& key,
                                const std::string& detail) {
    if (first_error_)
        return;
    const std::string location =
        region.begin ? fmt::format("{}:{}", file_, region.begin.line) : file_;
    first_error_ =
        error{error_code::invalid_argument, "settings.check", file_,
              fmt::format("{}: {}{} {}", location, path_, key, detail)};
}

} // namespace ospreystage::impl
