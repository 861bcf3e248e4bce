#pragma once

#include "site.hpp"

namespace ospreystage::review {

/// Weights of one model: pieces that follow from version and number, so that
/// origin and workers know them without sharing them.
class weights {
  public:
    static constexpr std::uint32_t pieces = 64;
    static constexpr std::uint32_t piece_bytes = 32'768;

    [[nodiscard]] static std::string piece(std::uint64_t version,
                                           std::uint32_t number);
    [[nodiscard]] static std::string digest(const std::string& bytes);
};

/// The service that hands out manifests and pieces of weights.
class weights_origin {
  public:
    weights_origin(const std::string& ip, std::string model);

    [[nodiscard]] endpoint local() const { return server_.local(); }

  private:
    void answer(const http_request& request, http_reply& reply);

    std::string model_;
    http_server server_;
};

/// A request that a model worker began to run.
struct model_run {
    instant begun;
    std::string worker;
    std::string request;
    std::uint64_t version = 0;
};

/// Worker of a model beside an agent: stages pieces, loads weights by order,
/// and answers with streams of events.
class model_worker {
  public:
    model_worker(site& target, std::string id, std::string service,
                 std::string model, int agent);
    ~model_worker();
    model_worker(const model_worker&) = delete;
    model_worker& operator=(const model_worker&) = delete;

    [[nodiscard]] std::vector<model_run> runs();
    [[nodiscard]] std::uint64_t version();

  private:
    void answer(const http_request& request, http_reply& reply);
    void answer_report(const field_list& fields, http_reply& reply);
    void answer_staged(const http_request& request, const field_list& fields,
                       http_reply& reply);
    void answer_order(const http_request& request, const field_list& fields,
                      http_reply& reply);
    void answer_consumer(const http_request& request, field_list fields,
                         http_reply& reply);
    void load(std::uint64_t version);
    void work();
    [[nodiscard]] nlohmann::json state() const;

    site& site_;
    std::string id_;
    std::string service_;
    std::string model_;
    endpoint local_;
    std::int64_t born_ = 0;
    std::mutex mutex_;
    std::condition_variable wake_;
    bool is_stopping_ = false;
    std::uint64_t version_ = 1;
    std::optional<std::uint64_t> ordered_;
    std::uint64_t orders_ = 0;
    int beats_ = 0;
    int running_ = 0;
    std::map<std::uint32_t, std::string> staged_;
    std::vector<model_run> runs_;
    std::unique_ptr<http_server> server_;
    std::thread worker_;
};

/// Returns the description of a service of model workers.
[[nodiscard]] nlohmann::json make_model_service(const std::string& name,
                                                const std::string& model);

} // namespace ospreystage::review
