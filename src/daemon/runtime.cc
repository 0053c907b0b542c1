#include "daemon/runtime.h"

#include "backends/http_backend_client.h"
#include "daemon/operator_documents.h"
#include "logging/json_log.h"
#include "peers/zmq_transport.h"
#include "publication/http_publication_client.h"

#include <csignal>
#include <random>
#include <utility>

namespace spurrack::daemon {
namespace {

constexpr std::chrono::milliseconds exit_poll_interval{20};
/// Minimum time from the end of a graceful stop to the exit of the process. In this time requests
/// can still arrive on the connections that were accepted last.
constexpr std::chrono::milliseconds min_exit_delay{200};
/// Time that a stopping process has to write the remaining answers, after its node has aborted the
/// remaining requests. After this time the process exits, even if some clients have not read their
/// answers or no request has arrived yet on some new connections. The process must exit by itself,
/// since it is killed 0.7 s after the requests are aborted, and the kill would also cut off the
/// clients that do read.
constexpr std::chrono::milliseconds last_answers_timeout{500};

std::uint64_t random_seed() {
  std::random_device device;
  constexpr unsigned half_bits = 32;
  return (static_cast<std::uint64_t>(device()) << half_bits) | device();
}

std::int64_t wall_offset() {
  const auto boot = std::chrono::duration_cast<std::chrono::microseconds>(
      base::boot_clock::now().time_since_epoch());
  return static_cast<std::int64_t>(base::wall_clock_microseconds()) - boot.count();
}

settings::daemon_settings with_process_start(settings::daemon_settings settings) {
  settings.node.self.process_start = base::wall_clock_microseconds();
  settings.node.wall_offset_microseconds = wall_offset();
  return settings;
}

} // namespace

runtime::runtime(boost::asio::io_context& io, settings::daemon_settings settings,
                 platform_adapters adapters, settings_loader load_settings)
    : io_(&io), settings_(with_process_start(std::move(settings))), random_(random_seed()),
      node_(settings_.node, random_, base::boot_clock::now()), adapters_(std::move(adapters)),
      load_settings_(std::move(load_settings)),
      pump_(io, {[this](const node::event& input_event) { handle(input_event); },
                 [this](const std::vector<node::event>& events) { handle_unread(events); },
                 [this](const loop_stand& stand) { note_stand(stand); },
                 [this] { return node_.next_wakeup(); }}),
      exit_timer_(io), signals_(io, SIGTERM, SIGINT, SIGHUP) {
  peers_ = peers::make_zmq_transport(
      io, settings_.peer_listen, settings_.curve,
      [this](wire::envelope message) { post(node::peer_message{std::move(message)}); });
  if (settings_.serving) {
    start_serving_path();
  } else {
    start_pipeline_interface();
  }
  operators_ = http::make_operator_server(
      io, settings_.operator_listen,
      [this](const std::string& path) {
        const auto started_at = base::boot_clock::now();
        auto document = make_document(path, node_, stats(), started_at);
        pump_.note_work("operator_document", started_at);
        return document;
      },
      [this](const std::string& path) { return handle_action(path); });
  watch_signals();
  logging::write(
      logging::severity::info, "started",
      {{"clients", settings_.serving ? settings_.serving->listen : settings_.caller_listen},
       {"peers", settings_.peer_listen}});
  post(node::time_passed{});
}

std::optional<http::operator_document> runtime::handle_action(const std::string& path) {
  auto action = parse_action(path);
  if (!action) {
    return std::nullopt;
  }
  post(std::move(*action));
  return http::operator_document{"application/json", "{\"accepted\":true}\n"};
}

void runtime::start_serving_path() {
  serving_ = std::make_unique<serving_adapters>(
      *io_, *settings_.serving, *settings_.node.serving, *adapters_.codec,
      [this](serving::event event) { post(std::move(event)); },
      [this] { return node_.accepts_clients(); });
  node_.set_byte_budget(serving_->budget());
  publication_ = adapters_.make_store_client(
      *io_, settings_.serving->store,
      {[this](node::service_answered answer) { post(std::move(answer)); },
       [this](node::service_failed failure) { post(failure); },
       [this](base::time_point started_at) { pump_.note_work("store_answer", started_at); },
       [](node::source_kind source, const std::string& reason) {
         logging::write(logging::severity::warning, "answer of the store cannot be read",
                        {{"source", source == node::source_kind::machine_list ? "machine list"
                                                                              : "configuration"},
                         {"reason", reason}});
       }});
}

void runtime::start_pipeline_interface() {
  auto& io = *io_;
  backends_ = backends::make_http_backend_client(
      io, {[this](execution::call_result result) { post(std::move(result)); },
           [this](execution::call_token token) { post(std::move(token)); }});
  publication_ = publication::make_http_publication_client(
      io, settings_.configuration_service, settings_.machine_list_service,
      {[this](node::service_answered answer) { post(std::move(answer)); },
       [this](node::service_failed failure) { post(failure); }});
  callers_ = http::make_caller_server(
      io, settings_.caller_listen, settings_.callers,
      {[this](node::caller_arrived arrived) { post(std::move(arrived)); },
       [this](node::ticket_requested request) { post(std::move(request)); },
       [this](node::caller_disconnected disconnection) { post(disconnection); },
       [this] { return node_.is_ready(); }});
}

void runtime::post(node::event input_event) {
  pump_.post(std::move(input_event));
}

void runtime::handle(const node::event& input_event) {
  const bool was_ready = node_.is_ready();
  carry_out_all(node_.handle(input_event, base::boot_clock::now()));
  note_changes(was_ready);
}

void runtime::handle_unread(const std::vector<node::event>& events) {
  const bool was_ready = node_.is_ready();
  carry_out_all(node_.handle_unread(events, base::boot_clock::now()));
  note_changes(was_ready);
}

void runtime::note_stand(const loop_stand& stand) {
  logging::write(logging::severity::warning, "event loop stood",
                 {{"milliseconds", std::to_string(base::to_milliseconds(stand.duration))},
                  {"handled", std::string(stand.handled)}});
  node_.note_stand(stand.duration, base::boot_clock::now());
}

void runtime::carry_out_all(node::command_list commands) {
  for (auto& command : commands) {
    carry_out(command);
  }
}

void runtime::note_changes(bool was_ready) {
  if (serving_ && node_.published_catalog().serving() != applied_configuration_) {
    applied_configuration_ = node_.published_catalog().serving();
    serving_->set_limits(applied_configuration_->limits);
  }
  if (serving_) {
    // Clients that keep their connections would keep coming to a node that cannot serve them.
    serving_->set_closes_after_answers(node_.serving()->is_partitioned());
  }
  if (node_.is_ready() != was_ready) {
    logging::write(logging::severity::info, node_.is_ready() ? "ready" : "not ready");
  }
}

void runtime::carry_out(node::command& command) {
  if (auto* message = std::get_if<wire::outgoing>(&command)) {
    peers_->send(*message);
  } else if (auto* start = std::get_if<execution::start_call>(&command)) {
    backends_->start(start->call);
  } else if (auto* cancel = std::get_if<execution::cancel_call>(&command)) {
    backends_->cancel(cancel->call);
  } else if (auto* token = std::get_if<execution::send_token>(&command)) {
    callers_->send_token(token->caller, token->offset, std::move(token->text));
  } else if (auto* answer = std::get_if<execution::send_answer>(&command)) {
    log_answer(answer->content);
    const auto caller = std::get<execution::local_caller>(answer->caller);
    callers_->send_answer(caller.id, std::move(answer->content));
  } else if (auto* ticket = std::get_if<node::send_ticket>(&command)) {
    callers_->send_ticket(ticket->caller, std::move(ticket->ticket), ticket->lifetime);
  } else if (auto* read = std::get_if<node::read_service>(&command)) {
    publication_->read(*read);
  } else if (auto* probe = std::get_if<node::probe_service>(&command)) {
    publication_->probe(*probe);
  } else if (auto* serving = std::get_if<serving::command>(&command)) {
    serving_->carry_out(std::move(*serving));
  } else if (auto* logged = std::get_if<node::log_event>(&command)) {
    log_event(logged->entry);
  } else if (std::holds_alternative<node::stop_completed>(command)) {
    if (serving_) {
      serving_->stop_accepting();
    } else {
      callers_->stop_accepting();
    }
    earliest_exit_at_ = base::boot_clock::now() + min_exit_delay;
    exit_when_idle();
  }
}

void runtime::log_answer(const execution::answer& content) {
  const bool completed = content.outcome == model::outcome::completed;
  logging::write(completed ? logging::severity::info : logging::severity::warning,
                 "request answered",
                 {{"request_id", content.request.text()},
                  {"outcome", std::string(model::name_of(content.outcome))},
                  {"reason", std::string(execution::name_of(content.failure_reason))}});
}

void runtime::log_event(const base::event& entry) {
  logging::write(
      logging::severity::info, base::name_of(entry.kind),
      {{"request_id", entry.request.text()}, {"subject", entry.subject}, {"detail", entry.detail}});
}

process_stats runtime::stats() const {
  process_stats current{
      peers_->dropped_messages(), busy_connections(), &pump_.stands(), nullptr, nullptr, nullptr};
  if (serving_) {
    current.client_counters = &serving_->client_counters();
    current.budget = serving_->budget().get();
    current.replica_connections = &serving_->replica_connections();
  }
  return current;
}

std::size_t runtime::busy_connections() const {
  return serving_ ? serving_->busy_connections() : callers_->busy_connections();
}

void runtime::log_stopped() const {
  if (node_.serving() == nullptr) {
    logging::write(logging::severity::info, "stopped");
    return;
  }
  const auto& counts = node_.serving()->counts();
  logging::write(logging::severity::info, "stopped",
                 {{"taken", std::to_string(counts.accepted_while_stopping)},
                  {"refused", std::to_string(counts.refused_while_stopping)},
                  {"ended_unsent", std::to_string(counts.ended_while_stopping)},
                  {"given_up", std::to_string(counts.aborted_at_stop)}});
}

void runtime::watch_signals() {
  signals_.async_wait([this](const boost::system::error_code& error, int signal) {
    if (error) {
      return;
    }
    if (signal == SIGHUP) {
      reload();
      watch_signals();
    } else {
      begin_stop();
    }
  });
}

void runtime::reload() {
  const auto started_at = base::boot_clock::now();
  const auto loaded = load_settings_();
  pump_.note_work("settings", started_at);
  if (!loaded.value) {
    const auto fault =
        loaded.faults.empty() ? "cannot be read" : model::describe(loaded.faults.front());
    logging::write(logging::severity::warning, "settings not reloaded", {{"reason", fault}});
    return;
  }
  // Only the seeds are applied. Changes of other settings, such as addresses and connection limits,
  // take effect when the process is restarted.
  post(node::seeds_changed{loaded.value->node.seeds});
  logging::write(logging::severity::info, "settings reloaded",
                 {{"seeds", std::to_string(loaded.value->node.seeds.size())}});
}

void runtime::begin_stop() {
  logging::write(logging::severity::info, "stopping");
  if (serving_) {
    serving_->begin_stop();
  }
  if (settings_.node.serving) {
    exit_deadline_ =
        base::boot_clock::now() + settings_.node.serving->max_stop_duration + last_answers_timeout;
  }
  post(node::stop_requested{});
}

void runtime::exit_when_idle() {
  const auto now = base::boot_clock::now();
  const bool is_done = busy_connections() == 0 && now >= earliest_exit_at_;
  if (is_done || now >= exit_deadline_) {
    log_stopped();
    io_->stop();
    return;
  }
  exit_timer_.expires_after(exit_poll_interval);
  exit_timer_.async_wait([this](const boost::system::error_code& error) {
    if (!error) {
      exit_when_idle();
    }
  });
}

} // namespace spurrack::daemon
