#include "ctl/reports.h"

#include "fleet/http_client.h"

#include <boost/json.hpp>

#include <algorithm>
#include <functional>
#include <iomanip>
#include <map>
#include <optional>
#include <tuple>

namespace spurrack::ctl {
namespace {

namespace json = boost::json;

/// Document fetched from one node.
struct node_document {
  std::string address;
  json::object content;
};

std::string text_of(const json::value& value) {
  return value.is_string() ? std::string(value.as_string()) : json::serialize(value);
}

/// Prints rows in aligned columns, with the names of the fields as headings.
void print_table(const json::array& rows, const std::vector<std::string>& columns,
                 std::ostream& out) {
  std::map<std::string, std::size_t> widths;
  for (const auto& column : columns) {
    widths[column] = column.size();
    for (const auto& row : rows) {
      widths[column] = std::max(widths[column], text_of(row.as_object().at(column)).size());
    }
  }
  const auto print_row = [&](const std::function<std::string(const std::string&)>& cell) {
    for (const auto& column : columns) {
      out << std::left << std::setw(static_cast<int>(widths[column] + 2)) << cell(column);
    }
    out << "\n";
  };
  print_row([](const std::string& column) { return column; });
  for (const auto& row : rows) {
    print_row([&](const std::string& column) { return text_of(row.as_object().at(column)); });
  }
}

void print_status(const std::vector<node_document>& documents, std::ostream& out) {
  json::array rows;
  for (const auto& document : documents) {
    rows.push_back(document.content);
  }
  print_table(rows,
              {"node", "zone", "ready", "active_requests", "waiting_calls", "may_witness",
               "highest_revision", "configuration_age_ms", "configuration_hash"},
              out);
  for (const auto& document : documents) {
    for (const auto& rejected : document.content.at("rejected").as_array()) {
      const auto& entry = rejected.as_object();
      out << text_of(document.content.at("node")) << ": refused " << text_of(entry.at("key"))
          << " revision " << text_of(entry.at("revision"))
          << " (in effect: " << text_of(entry.at("in_force"))
          << "): " << text_of(entry.at("reason")) << "\n";
    }
  }
}

void print_lists(const std::vector<node_document>& documents, const char* list,
                 const std::vector<std::string>& columns, std::ostream& out) {
  for (const auto& document : documents) {
    out << "seen by " << document.address << "\n";
    print_table(document.content.at(list).as_array(), columns, out);
  }
}

/// Sums the cost rows of all nodes by tenant, template and stage.
json::array sum_costs(const std::vector<node_document>& documents) {
  std::map<std::tuple<std::string, std::string, std::string>, json::object> totals;
  for (const auto& document : documents) {
    for (const auto& row : document.content.at("costs").as_array()) {
      const auto& cost = row.as_object();
      auto [entry, is_new] = totals.try_emplace(
          {text_of(cost.at("tenant")), text_of(cost.at("template")), text_of(cost.at("stage"))},
          cost);
      if (is_new) {
        continue;
      }
      for (const auto* name : {"backend_ms", "wasted_ms"}) {
        entry->second[name] =
            entry->second[name].to_number<double>() + cost.at(name).to_number<double>();
      }
      for (const auto* name : {"tokens", "attempts"}) {
        entry->second[name] =
            entry->second[name].to_number<std::int64_t>() + cost.at(name).to_number<std::int64_t>();
      }
    }
  }
  json::array rows;
  for (auto& [key, total] : totals) {
    rows.push_back(std::move(total));
  }
  return rows;
}

/// @param request if set, only the events of this request are returned.
/// @return events of all nodes, ordered by hybrid timestamp.
json::array merge_events(const std::vector<node_document>& documents,
                         const std::optional<std::string>& request) {
  std::vector<json::object> events;
  for (const auto& document : documents) {
    for (const auto& item : document.content.at("events").as_array()) {
      if (!request || text_of(item.as_object().at("request_id")) == *request) {
        events.push_back(item.as_object());
      }
    }
  }
  std::stable_sort(events.begin(), events.end(), [](const auto& left, const auto& right) {
    const auto order = [](const json::object& event) {
      return std::make_tuple(event.at("at_us").to_number<std::uint64_t>(),
                             event.at("logical").to_number<std::uint64_t>());
    };
    return order(left) < order(right);
  });
  json::array merged;
  for (auto& event : events) {
    merged.push_back(std::move(event));
  }
  return merged;
}

void print_documents(const std::string& command, const std::vector<node_document>& documents,
                     const std::optional<std::string>& request, std::ostream& out) {
  if (command == "status") {
    print_status(documents, out);
  } else if (command == "nodes") {
    print_lists(documents, "nodes", {"node", "zone", "state", "since_ms", "address"}, out);
  } else if (command == "backends") {
    print_lists(
        documents, "backends",
        {"backend", "zone", "pool", "in_flight", "concurrency", "average_ms", "leaving", "avoided"},
        out);
  } else if (command == "quarantine") {
    print_lists(documents, "requests",
                {"digest", "kind", "standing", "ends", "newest_ms", "replicas"}, out);
  } else if (command == "limits") {
    print_lists(documents, "replicas",
                {"replica", "per_second", "heard_ms", "issuer", "permits_held", "sent_in_4_s"},
                out);
  } else if (command == "unavailable") {
    print_lists(documents, "replicas", {"replica", "why", "since_ms", "left_ms", "said_by"}, out);
  } else if (command == "templates") {
    print_lists(documents, "templates", {"template", "revision", "deadline_ms"}, out);
    print_lists(documents, "tenants", {"tenant", "revision", "weight"}, out);
  } else if (command == "costs") {
    print_table(sum_costs(documents),
                {"tenant", "template", "stage", "backend_ms", "wasted_ms", "tokens", "attempts"},
                out);
  } else {
    print_table(merge_events(documents, request),
                {"at_us", "logical", "node", "event", "request_id", "subject", "detail"}, out);
  }
}

void print_json(const std::string& command, const std::vector<node_document>& documents,
                const std::optional<std::string>& request, std::ostream& out) {
  json::object body;
  if (command == "costs") {
    body["costs"] = sum_costs(documents);
  } else if (command == "timeline" || command == "explain") {
    body["events"] = merge_events(documents, request);
  } else {
    json::array nodes;
    for (const auto& document : documents) {
      nodes.push_back(json::object{{"address", document.address}, {"document", document.content}});
    }
    body["nodes"] = std::move(nodes);
  }
  out << json::serialize(body) << "\n";
}

/// @return whether each node that answered `status` is ready and has no rejected entries; true if
///         the command is not `status`.
bool all_healthy(const std::string& command, const std::vector<node_document>& documents) {
  if (command != "status") {
    return true;
  }
  return std::all_of(documents.begin(), documents.end(), [](const node_document& document) {
    return document.content.at("ready").as_bool() &&
           document.content.at("rejected").as_array().empty();
  });
}

} // namespace

exit_code report(const std::string& command, const std::vector<std::string>& arguments,
                 const std::vector<std::string>& nodes, output_format format, std::ostream& out,
                 std::ostream& errors) {
  static const std::map<std::string, std::string> paths{
      {"status", "/v1/status"},     {"nodes", "/v1/nodes"},
      {"backends", "/v1/backends"}, {"templates", "/v1/templates"},
      {"costs", "/v1/costs"},       {"timeline", "/v1/timeline"},
      {"explain", "/v1/timeline"},  {"quarantine", "/v1/quarantine"},
      {"limits", "/v1/limits"},     {"unavailable", "/v1/unavailable"}};
  const auto path = paths.find(command);
  if (path == paths.end()) {
    errors << "unknown command '" << command << "'; see --help\n";
    return exit_code::bad_usage;
  }
  std::vector<node_document> documents;
  bool all_answered = true;
  for (const auto& address : nodes) {
    const auto answer = fleet::get(address, path->second);
    if (answer.status == 200) {
      documents.push_back({address, answer.json()});
    } else {
      all_answered = false;
      errors << address << ": " << (answer.error.empty() ? "refused" : answer.error) << "\n";
    }
  }
  const auto request =
      command == "explain" ? std::optional(arguments.front()) : std::optional<std::string>();
  if (format == output_format::json) {
    print_json(command, documents, request, out);
  } else {
    print_documents(command, documents, request, out);
  }
  if (!all_answered) {
    return exit_code::unreachable;
  }
  return all_healthy(command, documents) ? exit_code::success : exit_code::problem_found;
}

exit_code release(const std::string& digest, const std::vector<std::string>& nodes,
                  std::ostream& out, std::ostream& errors) {
  bool any_accepted = false;
  for (const auto& address : nodes) {
    const auto answer = fleet::call(
        {address, "POST", "/v1/quarantine/release/" + digest, {{"Content-Length", "0"}}, {}});
    any_accepted = any_accepted || answer.status == 200;
    if (answer.status == 200) {
      out << address << ": accepted\n";
    } else {
      errors << address << ": "
             << (answer.error.empty() ? "refused, not a digest of 32 hexadecimal digits"
                                      : answer.error)
             << "\n";
    }
  }
  return any_accepted ? exit_code::success : exit_code::unreachable;
}

} // namespace spurrack::ctl
