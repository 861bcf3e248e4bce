#include <ospreystage/rollout/acceptance.hpp>

#include <algorithm>
#include <thread>
#include <utility>

namespace ospreystage {

namespace {

/// Number of failed calls after which an acceptance gives up.
constexpr int max_failures = 4;

/// Delay before the retry of a failed call.
constexpr milliseconds retry_delay{200};

/// Number of revisions since the base up to which all of them are read to find
/// who made the clashing changes.
constexpr revision max_chain_length = 32;

std::optional<rollout_document> parse(const std::string& json) {
    error ignored;
    return value_or_error([&] { return parse_rollout(json); }, ignored);
}

const std::optional<kv_entry>* entry_in(const kv_reply& reply) {
    const auto* reading = std::get_if<kv_reading>(&reply);
    return reading == nullptr ? nullptr : &reading->entry;
}

error error_of(const kv_reply& reply) {
    if (const auto* failure = std::get_if<error>(&reply))
        return *failure;
    return {error_code::malformed, "acceptance", "",
            "unexpected type of reply"};
}

kv_reply perform(const kv_client& client, const kv_read_call& call) {
    error failure;
    const auto reading =
        value_or_error([&] { return client.read(call.key); }, failure);
    return reading ? kv_reply(*reading) : kv_reply(failure);
}

kv_reply perform(const kv_client& client, const kv_write_call& call) {
    error failure;
    const auto outcome = value_or_error(
        [&] { return client.write_if(call.key, call.expected, call.value); },
        failure);
    if (!outcome)
        return failure;
    return std::visit([](const auto& value) { return kv_reply(value); },
                      *outcome);
}

kv_reply perform(const kv_client&, const acceptance_result&) {
    return error{};
}

} // namespace

std::string history_key(revision number) {
    return "ospreystage/rollout/history/" + std::to_string(number);
}

acceptance::acceptance(acceptance_request request)
    : request_(std::move(request)) {}

acceptance acceptance::resolve(std::string operation_id, revision based_on) {
    acceptance_request request;
    request.operation_id = std::move(operation_id);
    request.based_on = based_on;
    acceptance operation(std::move(request));
    operation.read_only_ = true;
    operation.may_have_written_ = true;
    return operation;
}

acceptance_step acceptance::begin() {
    if (request_.operation_id.empty())
        return reject(rejection::invalid, "the operation id is empty");
    if (read_only_) {
        state_ = checking_current{};
        return kv_read_call{current_rollout_key};
    }
    auto problems = validate(request_.draft);
    if (!problems.empty()) {
        rejected outcome{rejection::invalid,
                         "the draft failed validation",
                         0,
                         std::move(problems),
                         {}};
        return acceptance_result(std::move(outcome));
    }
    state_ = reading_current{};
    return kv_read_call{current_rollout_key};
}

acceptance_step acceptance::next(const kv_reply& reply) {
    const state at = state_;
    return std::visit([&](const auto& known) { return on(known, reply); }, at);
}

acceptance_step acceptance::on(const reading_current&, const kv_reply& reply) {
    const auto* entry = entry_in(reply);
    if (entry == nullptr)
        return reject(rejection::unavailable, to_string(error_of(reply)));
    current_entry_ = *entry;
    if (current_entry_) {
        auto document = parse(current_entry_->value);
        if (!document)
            return reject(rejection::damaged, current_rollout_key);
        current_ = std::move(*document);
    }
    if (current_.operation_id == request_.operation_id)
        return acceptance_result(
            accepted{current_.number, current_entry_->value});
    if (request_.based_on > current_.number)
        return reject(rejection::invalid,
                      "based_on is higher than the accepted revision");
    if (request_.based_on == current_.number)
        return start_write();
    if (request_.based_on > 0)
        return read_chain(request_.based_on);
    chain_.emplace_back();
    return read_chain(request_.based_on + 1);
}

acceptance_step acceptance::start_write() {
    chain_ = {current_};
    rollout_document document = request_.draft;
    document.number = current_.number + 1;
    document.based_on = current_.number;
    document.operation_id = request_.operation_id;
    document.accepted_by = request_.operator_name;
    document.accepted_at = request_.accepted_at;
    written_json_ = to_json_text(document);
    if (written_json_.size() > max_document_bytes)
        return reject(rejection::invalid, "the document is too large");
    if (!current_entry_)
        return write_current();
    state_ = copying_history{};
    return kv_write_call{history_key(current_.number), 0,
                         current_entry_->value};
}

acceptance_step acceptance::write_current() {
    state_ = writing_current{};
    return kv_write_call{current_rollout_key,
                         current_entry_ ? current_entry_->mod_revision : 0,
                         written_json_};
}

/// Reads the next document of the chain, or completes the chain with the
/// current one.
acceptance_step acceptance::read_chain(revision number) {
    const bool exceeds_max_length =
        current_.number - request_.based_on > max_chain_length &&
        number > request_.based_on + 1;
    if (number >= current_.number || exceeds_max_length) {
        chain_.push_back(current_);
        return reject_outdated();
    }
    state_ = reading_history{number};
    return kv_read_call{history_key(number)};
}

acceptance_step acceptance::on(const reading_history& at,
                               const kv_reply& reply) {
    const auto* entry = entry_in(reply);
    if (entry == nullptr) {
        if (++failures_ >= max_failures)
            return outcome_unknown(to_string(error_of(reply)));
        return kv_read_call{history_key(at.number)};
    }
    const auto document =
        *entry ? parse((*entry)->value) : std::optional<rollout_document>();
    if (!document && at.number <= request_.based_on + 1)
        return outcome_unknown("missing or malformed document at " +
                               history_key(at.number));
    if (document && document->operation_id == request_.operation_id)
        return acceptance_result(accepted{document->number, (*entry)->value});
    if (document)
        chain_.push_back(*document);
    return read_chain(at.number + 1);
}

acceptance_step acceptance::on(const copying_history&, const kv_reply& reply) {
    if (const auto* failure = std::get_if<error>(&reply)) {
        // Safe to retry: the copy either creates its key or changes nothing.
        if (failure->code != error_code::unknown_effect ||
            ++failures_ >= max_failures)
            return reject(rejection::unavailable, to_string(*failure));
        return kv_write_call{history_key(current_.number), 0,
                             current_entry_->value};
    }
    return write_current();
}

acceptance_step acceptance::on(const writing_current&, const kv_reply& reply) {
    if (std::holds_alternative<kv_written>(reply))
        return acceptance_result(
            accepted{request_.based_on + 1, written_json_});
    if (const auto* conflict = std::get_if<kv_conflict>(&reply))
        return decide_outcome(conflict->current);
    const error failure = error_of(reply);
    if (failure.code == error_code::unknown_effect)
        may_have_written_ = true;
    return check_after_failure(failure);
}

acceptance_step acceptance::check_after_failure(const error& failure) {
    if (!may_have_written_)
        return reject(rejection::unavailable, to_string(failure));
    if (++failures_ >= max_failures)
        return outcome_unknown(to_string(failure));
    state_ = checking_current{};
    return kv_read_call{current_rollout_key};
}

acceptance_step acceptance::on(const checking_current&, const kv_reply& reply) {
    const auto* entry = entry_in(reply);
    if (entry == nullptr)
        return check_after_failure(error_of(reply));
    return decide_outcome(*entry);
}

/// Determines the next step from the stored document after a write that
/// conflicted or whose effect is unknown.
acceptance_step
acceptance::decide_outcome(const std::optional<kv_entry>& entry) {
    const auto document =
        entry ? parse(entry->value) : std::optional(rollout_document());
    if (!document)
        return may_have_written_
                   ? outcome_unknown("the stored document cannot be parsed")
                   : reject(rejection::damaged, current_rollout_key);
    if (document->operation_id == request_.operation_id)
        return acceptance_result(accepted{document->number, entry->value});
    if (document->number > request_.based_on + 1) {
        current_ = *document;
        state_ = checking_history{};
        return kv_read_call{history_key(request_.based_on + 1)};
    }
    if (document->number == request_.based_on + 1) {
        current_ = *document;
        chain_.push_back(current_);
        return reject_outdated();
    }
    const bool is_unchanged = entry == current_entry_ && !read_only_;
    if (is_unchanged && ++failures_ < max_failures)
        return write_current();
    return outcome_unknown("the write has not taken effect yet");
}

acceptance_step acceptance::on(const checking_history&, const kv_reply& reply) {
    const auto* entry = entry_in(reply);
    if (entry == nullptr) {
        if (++failures_ >= max_failures)
            return outcome_unknown(to_string(error_of(reply)));
        return kv_read_call{history_key(request_.based_on + 1)};
    }
    const auto document =
        *entry ? parse((*entry)->value) : std::optional<rollout_document>();
    if (!document)
        return outcome_unknown("missing or malformed document at " +
                               history_key(request_.based_on + 1));
    if (document->operation_id == request_.operation_id)
        return acceptance_result(accepted{document->number, (*entry)->value});
    chain_.push_back(*document);
    chain_.push_back(current_);
    return reject_outdated();
}

acceptance_step acceptance::reject_outdated() {
    rejected outcome;
    outcome.reason = rejection::outdated;
    outcome.detail = "revision " + std::to_string(current_.number) + " of " +
                     current_.accepted_by + " is accepted";
    outcome.current = current_.number;
    if (!read_only_)
        outcome.clashes = find_clashes(chain_, request_.draft);
    return acceptance_result(std::move(outcome));
}

acceptance_step acceptance::reject(rejection reason, std::string detail) {
    return acceptance_result(
        rejected{reason, std::move(detail), current_.number, {}, {}});
}

acceptance_step acceptance::outcome_unknown(std::string detail) {
    return acceptance_result(
        not_yet_known{request_.operation_id, std::move(detail)});
}

const char* to_string(rejection reason) noexcept {
    switch (reason) {
    case rejection::invalid:
        return "invalid";
    case rejection::outdated:
        return "outdated";
    case rejection::unavailable:
        return "unavailable";
    case rejection::damaged:
        return "damaged";
    }
    return "unnamed";
}

acceptance_result run(acceptance operation, const kv_client& client) {
    acceptance_step step = operation.begin();
    for (;;) {
        if (const auto* result = std::get_if<acceptance_result>(&step))
            return *result;
        const kv_reply reply = std::visit(
            [&](const auto& call) { return perform(client, call); }, step);
        step = operation.next(reply);
        const bool is_done = std::holds_alternative<acceptance_result>(step);
        if (std::holds_alternative<error>(reply) && !is_done)
            std::this_thread::sleep_for(retry_delay);
    }
}

} // namespace ospreystage
