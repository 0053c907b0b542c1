#include "logging/json_log.h"

#include "base/time.h"

#include <boost/json.hpp>
#include <glog/logging.h>

#include <poll.h>
#include <unistd.h>

#include <cstdint>
#include <memory>
#include <string>

namespace spurrack::logging {
namespace {

/// Writes each message, which is a JSON object already, as one line to standard output. Never
/// blocks: if standard output is not writable, the line is dropped, and the number of dropped lines
/// is added to the next line that is written. glog calls `send` under its own lock.
class json_line_sink final : public google::LogSink {
 public:
  void send(google::LogSeverity /*severity*/, const char* /*full_filename*/,
            const char* /*base_filename*/, int /*line*/, const google::LogMessageTime& /*time*/,
            const char* message, std::size_t length) override {
    std::string text(message, length);
    text += '\n';
    if (!is_writable()) {
      ++dropped_;
      return;
    }
    if (dropped_ > 0) {
      text.insert(text.size() - 2, ",\"lines_dropped_before\":" + std::to_string(dropped_));
      dropped_ = 0;
    }
    if (::write(STDOUT_FILENO, text.data(), text.size()) < 0) {
      ++dropped_;
    }
  }

 private:
  /// @return whether standard output is writable; a writable pipe accepts a whole line without
  ///         blocking.
  static bool is_writable() {
    pollfd out{STDOUT_FILENO, POLLOUT, 0};
    return ::poll(&out, 1, 0) == 1 && (out.revents & POLLOUT) != 0;
  }

  std::uint64_t dropped_ = 0;
};

struct log_state {
  json_line_sink sink;
  std::string node;
  std::string zone;
};

log_state& state() {
  static log_state instance;
  return instance;
}

std::string_view name_of(severity level) {
  switch (level) {
  case severity::info:
    return "info";
  case severity::warning:
    return "warning";
  case severity::error:
    return "error";
  }
  return "info";
}

} // namespace

void start(const char* program, const std::string& node, const std::string& zone) {
  state().node = node;
  state().zone = zone;
  google::InitGoogleLogging(program);
}

void write(severity level, std::string_view message, const std::vector<field>& fields) {
  boost::json::object line;
  line["at_us"] = base::wall_clock_microseconds();
  line["severity"] = name_of(level);
  if (!state().node.empty()) {
    line["node"] = state().node;
    line["zone"] = state().zone;
  }
  line["message"] = message;
  for (const auto& entry : fields) {
    line[entry.name] = entry.value;
  }
  const auto text = boost::json::serialize(line);
  switch (level) {
  case severity::info:
    LOG_TO_SINK_BUT_NOT_TO_LOGFILE(&state().sink, INFO) << text;
    break;
  case severity::warning:
    LOG_TO_SINK_BUT_NOT_TO_LOGFILE(&state().sink, WARNING) << text;
    break;
  case severity::error:
    LOG_TO_SINK_BUT_NOT_TO_LOGFILE(&state().sink, ERROR) << text;
    break;
  }
}

} // namespace spurrack::logging
