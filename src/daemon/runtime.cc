#include "daemon/runtime.h"

#include "backends/http_backend_client.h"
#include "daemon/operator_documents.h"
#include "logging/json_log.h"
#include "peers/zmq_transport.h"
#include "publication/http_publication_client.h"

#include <boost/asio/post.hpp>

#include <csignal>
#include <random>
#include <utility>

namespace spurrack::daemon {
namespace {

constexpr std::chrono::milliseconds exit_poll{20};
/// Time for requests on connections that were accepted last.
constexpr std::chrono::milliseconds exit_grace{200};
/// Time after a node has given up what was left for its last answers to be written. Clients that
/// take none of theirs, and connections without a request, are not waited for beyond it: the kill
/// that follows 0.7 s after the giving up would cut the others too.
constexpr std::chrono::milliseconds last_answers_time{500};

std::uint64_t random_seed() {
  std::random_device device;
  constexpr unsigned half = 32;
  return (static_cast<std::uint64_t>(device()) << half) | device();
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
                 platform_parts parts, settings_source reread)
    : io_(&io), settings_(with_process_start(std::move(settings))), random_(random_seed()),
      node_(settings_.node, random_, base::boot_clock::now()), parts_(std::move(parts)),
      reread_(std::move(reread)), wakeup_(io), exit_timer_(io),
      signals_(io, SIGTERM, SIGINT, SIGHUP) {
  peers_ = peers::make_zmq_transport(
      io, settings_.peer_listen, settings_.curve,
      [this](wire::envelope message) { post(node::peer_message{std::move(message)}); });
  if (settings_.serving) {
    start_serving();
  } else {
    start_own_interface();
  }
  operators_ = http::make_operator_server(
      io, settings_.operator_listen,
      [this](const std::string& path) {
        return make_document(path, node_, facts(), base::boot_clock::now());
      },
      [this](const std::string& path) { return act(path); });
  watch_signals();
  logging::write(
      logging::severity::info, "started",
      {{"clients", settings_.serving ? settings_.serving->listen : settings_.caller_listen},
       {"peers", settings_.peer_listen}});
  post(node::time_passed{});
}

std::optional<http::operator_document> runtime::act(const std::string& path) {
  auto wanted = read_action(path);
  if (!wanted) {
    return std::nullopt;
  }
  post(std::move(*wanted));
  return http::operator_document{"application/json", "{\"accepted\":true}\n"};
}

void runtime::start_serving() {
  serving_ = std::make_unique<serving_adapters>(
      *io_, *settings_.serving, *settings_.node.serving, *parts_.codec,
      [this](serving::event what) { post(std::move(what)); }, [this] { return node_.is_ready(); });
  node_.set_budget(serving_->budget());
  platform_ =
      parts_.make_store_client(*io_, settings_.serving->store,
                               {[this](node::service_answered answer) { post(std::move(answer)); },
                                [this](node::service_failed failure) { post(failure); }});
}

void runtime::start_own_interface() {
  auto& io = *io_;
  backends_ = backends::make_http_backend_client(
      io, {[this](execution::call_result result) { post(std::move(result)); },
           [this](execution::call_token token) { post(std::move(token)); }});
  platform_ = publication::make_http_publication_client(
      io, settings_.configuration_service, settings_.machine_list_service,
      {[this](node::service_answered answer) { post(std::move(answer)); },
       [this](node::service_failed failure) { post(failure); }});
  callers_ = http::make_caller_server(
      io, settings_.caller_listen, settings_.callers,
      {[this](node::caller_arrived arrived) { post(std::move(arrived)); },
       [this](node::ticket_wanted wanted) { post(std::move(wanted)); },
       [this](node::caller_left left) { post(left); }, [this] { return node_.is_ready(); }});
}

void runtime::post(node::event what) {
  posted_.push_back(std::move(what));
  if (posted_.size() == 1) {
    boost::asio::post(*io_, [this] { handle_posted(); });
  }
}

void runtime::handle_posted() {
  for (const auto& what : std::exchange(posted_, {})) {
    handle(what);
  }
  schedule_wakeup();
}

void runtime::handle(const node::event& what) {
  const bool was_ready = node_.is_ready();
  auto commands = node_.handle(what, base::boot_clock::now());
  for (auto& wanted : commands) {
    carry_out(wanted);
  }
  if (serving_ && node_.content().serving() != limits_from_) {
    limits_from_ = node_.content().serving();
    serving_->set_limits(limits_from_->limits);
  }
  if (node_.is_ready() != was_ready) {
    logging::write(logging::severity::info, node_.is_ready() ? "ready" : "not ready");
  }
}

void runtime::schedule_wakeup() {
  const auto now = base::boot_clock::now();
  const auto wanted = node_.next_wakeup();
  if (wakeup_at_ && *wakeup_at_ > now && *wakeup_at_ <= wanted) {
    // Each event of a stream puts its next check off; the timer is set anew when it has fired.
    return;
  }
  wakeup_at_ = wanted;
  wakeup_.expires_after(std::max<base::duration>(wanted - now, base::duration::zero()));
  wakeup_.async_wait([this](const boost::system::error_code& error) {
    if (!error) {
      wakeup_at_.reset();
      handle(node::time_passed{});
      schedule_wakeup();
    }
  });
}

void runtime::carry_out(node::command& wanted) {
  if (auto* message = std::get_if<wire::outgoing>(&wanted)) {
    peers_->send(*message);
  } else if (auto* start = std::get_if<execution::start_call>(&wanted)) {
    backends_->start(start->call);
  } else if (auto* cancel = std::get_if<execution::cancel_call>(&wanted)) {
    backends_->cancel(cancel->call);
  } else if (auto* token = std::get_if<execution::send_token>(&wanted)) {
    callers_->send_token(token->caller, token->offset, std::move(token->text));
  } else if (auto* answer = std::get_if<execution::send_answer>(&wanted)) {
    log_answer(answer->content);
    const auto caller = std::get<execution::local_caller>(answer->caller);
    callers_->send_answer(caller.id, std::move(answer->content));
  } else if (auto* ticket = std::get_if<node::send_ticket>(&wanted)) {
    callers_->send_ticket(ticket->caller, std::move(ticket->ticket), ticket->lifetime);
  } else if (auto* read = std::get_if<node::read_service>(&wanted)) {
    platform_->read(*read);
  } else if (auto* probe = std::get_if<node::probe_service>(&wanted)) {
    platform_->probe(*probe);
  } else if (auto* serving = std::get_if<serving::command>(&wanted)) {
    serving_->carry_out(std::move(*serving));
  } else if (auto* decision = std::get_if<node::log_decision>(&wanted)) {
    log_decision(decision->what);
  } else if (std::holds_alternative<node::stop_completed>(wanted)) {
    if (serving_) {
      serving_->stop_accepting();
    } else {
      callers_->stop_accepting();
    }
    exit_not_before_ = base::boot_clock::now() + exit_grace;
    exit_when_written();
  }
}

void runtime::log_answer(const execution::answer& content) {
  const bool completed = content.outcome == model::outcome::completed;
  logging::write(completed ? logging::severity::info : logging::severity::warning,
                 "request answered",
                 {{"request_id", content.request.text()},
                  {"outcome", std::string(model::name_of(content.outcome))},
                  {"reason", std::string(execution::name_of(content.why))}});
}

void runtime::log_decision(const base::event& what) {
  logging::write(
      logging::severity::info, base::name_of(what.kind),
      {{"request_id", what.request.text()}, {"subject", what.subject}, {"detail", what.detail}});
}

process_facts runtime::facts() const {
  process_facts known{peers_->dropped_messages(), busy(), nullptr, nullptr, nullptr};
  if (serving_) {
    known.readers = &serving_->readers();
    known.budget = serving_->budget().get();
    known.replica_connections = &serving_->replica_connections();
  }
  return known;
}

std::size_t runtime::busy() const {
  return serving_ ? serving_->busy() : callers_->busy_connections();
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
  const auto read = reread_();
  if (!read.value) {
    const auto fault =
        read.faults.empty() ? "cannot be read" : model::describe(read.faults.front());
    logging::write(logging::severity::warning, "settings not reloaded", {{"reason", fault}});
    return;
  }
  // Addresses and limits of connections stay as they were at the start.
  post(node::seeds_changed{read.value->node.seeds});
  logging::write(logging::severity::info, "settings reloaded",
                 {{"seeds", std::to_string(read.value->node.seeds.size())}});
}

void runtime::begin_stop() {
  logging::write(logging::severity::info, "stopping");
  if (serving_) {
    serving_->begin_stop();
  }
  if (settings_.node.serving) {
    exit_latest_ =
        base::boot_clock::now() + settings_.node.serving->max_stop_duration + last_answers_time;
  }
  post(node::stop_requested{});
}

void runtime::exit_when_written() {
  const auto now = base::boot_clock::now();
  const bool is_done = busy() == 0 && now >= exit_not_before_;
  if (is_done || now >= exit_latest_) {
    log_stopped();
    io_->stop();
    return;
  }
  exit_timer_.expires_after(exit_poll);
  exit_timer_.async_wait([this](const boost::system::error_code& error) {
    if (!error) {
      exit_when_written();
    }
  });
}

} // namespace spurrack::daemon
