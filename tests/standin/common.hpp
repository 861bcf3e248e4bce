#pragma once

#include <CLI/CLI.hpp>
#include <httplib.h>
#include <nlohmann/json.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>

namespace ospreystage::standin {

using json = nlohmann::json;
using steady = std::chrono::steady_clock;

/// Answers a POST whose body is JSON; a `json::exception` becomes 400.
using json_handler =
    std::function<void(const json& body, httplib::Response& answer)>;

/// Adds the required option `--listen HOST:PORT`.
void add_listen_option(CLI::App& command, std::string& listen);

/// Gives every connection a thread, and switches Nagle's algorithm off.
void prepare(httplib::Server& server);

/// Listens, prints `ready` and serves until the process is killed.
///
/// Returns the exit status; fails if the address is malformed or in use.
[[nodiscard]] int serve(httplib::Server& server, const std::string& listen);

/// Sets a JSON answer.
void reply(httplib::Response& answer, const json& body, int status = 200);

/// Handles POST `path` with a JSON body.
void on_post(httplib::Server& server, const std::string& path,
             json_handler handler);

/// Handles GET `path` with a JSON answer.
void on_get(httplib::Server& server, const std::string& path,
            std::function<json()> handler);

/// Reads an integer that is a JSON number or a decimal string.
///
/// Returns `fallback` if the key is missing or the text is empty.
[[nodiscard]] std::int64_t integer_or(const json& object, const char* key,
                                      std::int64_t fallback);

/// Encodes bytes in base64.
[[nodiscard]] std::string to_base64(const std::string& bytes);

/// Decodes base64; throws `std::invalid_argument` if the text is malformed.
[[nodiscard]] std::string from_base64(const std::string& text);

// ---- Subcommands; each adds itself, and runs when it was chosen. -----------

void add_kv_command(CLI::App& app, int& status);
void add_origin_command(CLI::App& app, int& status);
void add_vms_command(CLI::App& app, int& status);
void add_engine_command(CLI::App& app, int& status);
void add_plain_command(CLI::App& app, int& status);

} // namespace ospreystage::standin
