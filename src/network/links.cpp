#include <ospreystage/network/links.hpp>

#include <utility>

namespace ospreystage {

namespace {

constexpr std::size_t max_pending_messages = 4096;
constexpr std::size_t datagram_key_bytes = 16;

} // namespace

links::links(kernel& core, const settings& configuration, process_id self)
    : core_(core), configuration_(configuration), self_(std::move(self)),
      network_(core.find<network>("network")) {}

leaf::result<void> links::start() {
    network::callbacks handlers;
    handlers.opened = [this](connection_id id, bool outgoing) {
        on_opened(id, outgoing);
    };
    handlers.received = [this](connection_id id, message value) {
        on_received(id, std::move(value));
    };
    handlers.closed = [this](connection_id id, const std::string& reason) {
        on_closed(id, reason);
    };
    handlers.datagram = [this](const address& from, const message& value) {
        const datagram_handler& handler = datagram_handlers_[value.index()];
        if (handler)
            handler(from, value);
    };
    network_.set_callbacks(std::move(handlers));
    network_.set_datagram_key(
        sha256(configuration_.cluster.token).substr(0, datagram_key_bytes));
    BOOST_LEAF_CHECK(network_.listen(configuration_.listen.peer));
    core_.every("links", configuration_.cluster.heartbeat_interval,
                [this] { tick(); });
    return {};
}

void links::set_directory(directory lookup) {
    lookup_ = std::move(lookup);
}

void links::set_started_attempts_source(started_attempts_source source) {
    started_attempts_ = std::move(source);
}

void links::on_up(
    std::function<void(const link_peer&, const hello_reply&)> handler) {
    up_handlers_.push_back(std::move(handler));
}

void links::on_down(
    std::function<void(const link_peer&, const std::string&)> handler) {
    down_handlers_.push_back(std::move(handler));
}

const process_id& links::self() const noexcept {
    return self_;
}

std::optional<link_peer> links::find(const std::string& process) const {
    const auto found = outgoing_.find(process);
    if (found == outgoing_.end())
        return std::nullopt;
    const link_record& record =
        records_.at(static_cast<std::uint64_t>(found->second));
    if (!record.established)
        return std::nullopt;
    return record.peer;
}

std::size_t links::pending_bytes(const std::string& process) const {
    const auto found = outgoing_.find(process);
    return found == outgoing_.end() ? 0 : network_.pending_bytes(found->second);
}

nlohmann::json links::dump() const {
    nlohmann::json state;
    state["refused"] = refused_;
    state["silenced"] = timed_out_;
    state["open"] = nlohmann::json::array();
    for (const auto& [id, record] : records_)
        state["open"].push_back({{"peer", to_string(record.peer.process)},
                                 {"outgoing", record.peer.outgoing},
                                 {"established", record.established},
                                 {"epoch", record.peer.epoch}});
    return state;
}

bool links::open(const std::string& process) {
    if (outgoing_.contains(process))
        return true;
    const auto remote = lookup_ ? lookup_(process) : std::nullopt;
    if (!remote)
        return false;
    const connection_id id = network_.connect(*remote);
    link_record record;
    record.name = process;
    record.peer.connection = id;
    record.peer.process.name = process;
    record.peer.outgoing = true;
    record.peer.epoch = ++epochs_[process];
    record.last_received = steady::now();
    records_.emplace(static_cast<std::uint64_t>(id), std::move(record));
    outgoing_.emplace(process, id);
    return true;
}

bool links::send(const std::string& process, const message& value) {
    if (!open(process))
        return false;
    const connection_id id = outgoing_.at(process);
    link_record& record = records_.at(static_cast<std::uint64_t>(id));
    if (record.established)
        return network_.send(id, value);
    if (record.pending.size() >= max_pending_messages)
        return false;
    record.pending.push_back(value);
    return true;
}

bool links::reply(connection_id connection, const message& value) {
    return network_.send(connection, value);
}

void links::reset(const std::string& process, const std::string& reason) {
    const auto found = outgoing_.find(process);
    if (found != outgoing_.end())
        end_link(found->second, reason);
}

void links::close(const std::string& process) {
    const auto found = outgoing_.find(process);
    if (found == outgoing_.end())
        return;
    const connection_id id = found->second;
    network_.close(id);
    records_.erase(static_cast<std::uint64_t>(id));
    outgoing_.erase(process);
}

void links::send_datagram(const address& remote, const message& value) {
    network_.send_datagram(remote, value);
}

void links::send_datagrams(const std::vector<address>& remotes,
                           const message& value) {
    network_.send_datagrams(remotes, value);
}

void links::on_opened(connection_id id, bool outgoing) {
    if (!outgoing) {
        link_record record;
        record.peer.connection = id;
        record.last_received = steady::now();
        records_.emplace(static_cast<std::uint64_t>(id), std::move(record));
        return;
    }
    const auto found = records_.find(static_cast<std::uint64_t>(id));
    if (found == records_.end())
        return;
    found->second.last_received = steady::now();
    network_.send(id,
                  hello{configuration_.cluster.token, self_,
                        configuration_.process.role, found->second.peer.epoch});
}

void links::on_received(connection_id id, message value) {
    const auto found = records_.find(static_cast<std::uint64_t>(id));
    if (found == records_.end())
        return;
    found->second.last_received = steady::now();
    if (const auto* greeting = std::get_if<hello>(&value)) {
        accept_hello(id, *greeting);
        return;
    }
    if (const auto* greeting = std::get_if<hello_reply>(&value)) {
        accept_reply(id, *greeting);
        return;
    }
    if (!found->second.established) {
        ++refused_;
        end_link(id, "message before hello");
        return;
    }
    if (std::holds_alternative<heartbeat>(value))
        return;
    const link_handler& handler = handlers_[value.index()];
    if (handler) {
        const link_peer peer = found->second.peer;
        handler(peer, value);
    }
}

void links::on_closed(connection_id id, const std::string& reason) {
    end_link(id, reason);
}

void links::accept_hello(connection_id id, const hello& greeting) {
    link_record& record = records_.at(static_cast<std::uint64_t>(id));
    if (record.peer.outgoing || record.established ||
        greeting.token != configuration_.cluster.token) {
        ++refused_;
        end_link(id, "hello refused");
        return;
    }
    const std::pair<std::uint64_t, std::uint64_t> current{
        greeting.sender.incarnation, greeting.epoch};
    auto& latest = latest_[greeting.sender.name];
    if (current <= latest) {
        ++refused_;
        end_link(id, "hello of an earlier epoch");
        return;
    }
    latest = current;
    record.peer.process = greeting.sender;
    record.peer.role = greeting.role;
    record.peer.epoch = greeting.epoch;
    record.established = true;
    const link_peer peer = record.peer;
    close_older_connections(peer);
    hello_reply answer;
    answer.sender = self_;
    answer.role = configuration_.process.role;
    if (started_attempts_)
        answer.started = started_attempts_(peer);
    network_.send(id, answer);
    for (const auto& handler : up_handlers_)
        handler(peer, answer);
}

void links::accept_reply(connection_id id, const hello_reply& greeting) {
    link_record& record = records_.at(static_cast<std::uint64_t>(id));
    if (!record.peer.outgoing || record.established ||
        greeting.sender.name != record.name) {
        ++refused_;
        end_link(id, "unexpected hello reply");
        return;
    }
    record.peer.process = greeting.sender;
    record.peer.role = greeting.role;
    record.established = true;
    const link_peer peer = record.peer;
    const std::vector<message> pending = std::exchange(record.pending, {});
    for (const auto& handler : up_handlers_)
        handler(peer, greeting);
    for (const message& value : pending)
        network_.send(id, value);
}

void links::end_link(connection_id id, const std::string& reason) {
    const auto found = records_.find(static_cast<std::uint64_t>(id));
    if (found == records_.end())
        return;
    const link_record record = std::move(found->second);
    records_.erase(found);
    network_.close(id);
    if (record.peer.outgoing)
        outgoing_.erase(record.name);
    if (!record.established && !record.peer.outgoing)
        return;
    for (const auto& handler : down_handlers_)
        handler(record.peer, reason);
}

void links::close_older_connections(const link_peer& latest) {
    std::vector<connection_id> older;
    for (const auto& [id, record] : records_) {
        if (!record.peer.outgoing && record.established &&
            record.peer.process.name == latest.process.name &&
            connection_id{id} != latest.connection)
            older.push_back(connection_id{id});
    }
    for (const connection_id id : older)
        end_link(id, "replaced by a newer connection");
}

void links::tick() {
    const instant now = steady::now();
    std::vector<connection_id> timed_out;
    for (const auto& [id, record] : records_) {
        if (now - record.last_received > configuration_.cluster.silence_timeout)
            timed_out.push_back(connection_id{id});
        else if (record.established)
            network_.send(connection_id{id}, heartbeat{next_heartbeat_++});
    }
    for (const connection_id id : timed_out) {
        ++timed_out_;
        end_link(id, "silent");
    }
}

} // namespace ospreystage
