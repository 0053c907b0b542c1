#include "framing_client.h"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <cctype>
#include <cerrno>
#include <charconv>
#include <cstddef>
#include <netinet/in.h>
#include <poll.h>
#include <string_view>
#include <sys/socket.h>
#include <unistd.h>

namespace spurrack::platform_tests {
namespace {

using clock = std::chrono::steady_clock;

constexpr std::size_t read_bytes = 16'384;
constexpr std::string_view line_end = "\r\n";
constexpr unsigned first_final_status = 200;
constexpr int hexadecimal = 16;

std::string in_lower_case(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(),
                 [](unsigned char letter) { return static_cast<char>(std::tolower(letter)); });
  return text;
}

/// @return whether `text` consists of a number in `base` and, if `has_extension` is true, an
///         optional chunk extension.
bool parse_number(std::string_view text, int base, bool has_extension, std::size_t& number) {
  const auto* const last = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), last, number, base);
  return parsed.ec == std::errc() && (parsed.ptr == last || (has_extension && *parsed.ptr == ';'));
}

/// Parses one answer incrementally.
class answer_parser {
 public:
  explicit answer_parser(framed_answer& answer) : answer_(answer) {}

  /// Consumes the bytes of the answer at the start of `received`.
  /// @return whether the answer has ended; `end` of the answer is set then.
  bool parse(std::string& received) {
    bool makes_progress = true;
    while (makes_progress && part_ != part::end) {
      makes_progress = parse_part(received);
    }
    return part_ == part::end;
  }

 private:
  enum class part : std::uint8_t {
    head,
    length_body,
    chunk_size,
    chunk_body,
    chunk_end,
    trailer,
    open_body,
    end
  };

  /// @return whether bytes were consumed or the part has changed.
  bool parse_part(std::string& received) {
    switch (part_) {
    case part::head:
      return parse_head(received);
    case part::length_body:
      return take_body(received, part::end);
    case part::chunk_body:
      return take_body(received, part::chunk_end);
    case part::open_body:
      answer_.body += received;
      received.clear();
      return false;
    default:
      return parse_chunk_line(received);
    }
  }

  bool parse_head(std::string& received) {
    const auto size = received.find("\r\n\r\n");
    if (size == std::string::npos) {
      return false;
    }
    const auto head = received.substr(0, size + line_end.size());
    received.erase(0, size + 2 * line_end.size());
    answer_.headers.clear();
    constexpr std::string_view version = "HTTP/1.1 ";
    constexpr std::size_t status_digits = 3;
    std::size_t status = 0;
    if (!head.starts_with(version) ||
        !parse_number(std::string_view(head).substr(version.size(), status_digits), 10, false,
                      status) ||
        !parse_fields(head)) {
      return end_with(answer_end::malformed);
    }
    answer_.status = static_cast<unsigned>(status);
    return answer_.status < first_final_status || choose_framing();
  }

  bool parse_fields(const std::string& head) {
    auto begin = head.find(line_end) + line_end.size();
    while (begin < head.size()) {
      const auto end = head.find(line_end, begin);
      const auto line = head.substr(begin, end - begin);
      const auto colon = line.find(':');
      if (colon == std::string::npos || colon == 0) {
        return false;
      }
      const auto value = line.find_first_not_of(' ', colon + 1);
      const bool is_new = answer_.headers
                              .emplace(in_lower_case(line.substr(0, colon)),
                                       value == std::string::npos ? "" : line.substr(value))
                              .second;
      if (!is_new && answer_.headers.contains("content-length")) {
        return false;
      }
      begin = end + line_end.size();
    }
    return true;
  }

  bool choose_framing() {
    constexpr unsigned no_content = 204;
    constexpr unsigned not_modified = 304;
    const auto length = answer_.headers.find("content-length");
    const bool has_length = length != answer_.headers.end();
    const bool has_chunks = in_lower_case(answer_.header("transfer-encoding")) == "chunked";
    if ((has_length && has_chunks) ||
        (has_length && !parse_number(length->second, 10, false, missing_))) {
      return end_with(answer_end::malformed);
    }
    if (has_chunks) {
      answer_.framing = answer_framing::chunks;
      part_ = part::chunk_size;
    } else if (has_length || answer_.status == no_content || answer_.status == not_modified) {
      answer_.framing = answer_framing::length;
      part_ = part::length_body;
    } else {
      answer_.framing = answer_framing::connection;
      part_ = part::open_body;
    }
    return true;
  }

  /// Consumes up to `missing_` bytes of the body; then goes on with `next`.
  bool take_body(std::string& received, part next) {
    const auto taken = std::min(missing_, received.size());
    answer_.body.append(received, 0, taken);
    received.erase(0, taken);
    missing_ -= taken;
    if (missing_ == 0 && next == part::end) {
      return end_with(answer_end::length_reached);
    }
    part_ = missing_ == 0 ? next : part_;
    return missing_ == 0;
  }

  /// Parses a line that frames chunks: a size, the end of a chunk, or a trailer field.
  bool parse_chunk_line(std::string& received) {
    const auto size = received.find(line_end);
    if (size == std::string::npos) {
      return false;
    }
    const auto line = received.substr(0, size);
    received.erase(0, size + line_end.size());
    if (part_ == part::trailer) {
      return !line.empty() || end_with(answer_end::last_chunk);
    }
    if (part_ == part::chunk_end) {
      part_ = part::chunk_size;
      return line.empty() || end_with(answer_end::malformed);
    }
    if (!parse_number(line, hexadecimal, true, missing_)) {
      return end_with(answer_end::malformed);
    }
    part_ = missing_ == 0 ? part::trailer : part::chunk_body;
    return true;
  }

  bool end_with(answer_end end) {
    answer_.end = end;
    part_ = part::end;
    return true;
  }

  framed_answer& answer_;
  part part_ = part::head;
  /// Number of bytes that the body, or its current chunk, still lacks.
  std::size_t missing_ = 0;
};

} // namespace

std::string framed_answer::header(const std::string& name) const {
  const auto found = headers.find(name);
  return found == headers.end() ? std::string() : found->second;
}

std::string name_of(answer_framing framing) {
  constexpr std::array names{"no head", "length", "chunks", "connection"};
  return names.at(static_cast<std::size_t>(framing));
}

std::string name_of(answer_end end) {
  constexpr std::array names{"length reached", "last chunk", "closed",
                             "reset",          "timed out",  "malformed"};
  return names.at(static_cast<std::size_t>(end));
}

framing_client::framing_client(const std::string& address) {
  const auto colon = address.find(':');
  sockaddr_in endpoint{};
  endpoint.sin_family = AF_INET;
  endpoint.sin_port = htons(static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
  ::inet_pton(AF_INET, address.substr(0, colon).c_str(), &endpoint.sin_addr);
  socket_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  is_connected_ =
      ::connect(socket_, reinterpret_cast<const sockaddr*>(&endpoint), sizeof(endpoint)) == 0;
}

framing_client::~framing_client() {
  ::close(socket_);
}

bool framing_client::send(const std::string& bytes) const {
  std::size_t sent = 0;
  while (sent < bytes.size()) {
    const auto written = ::send(socket_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (written <= 0) {
      return false;
    }
    sent += static_cast<std::size_t>(written);
  }
  return true;
}

framed_answer framing_client::read(std::chrono::milliseconds timeout) {
  const auto deadline = clock::now() + timeout;
  framed_answer answer;
  answer_parser parser(answer);
  bool has_ended = parser.parse(received_);
  while (!has_ended) {
    const auto last = receive(deadline);
    if (last != receipt::bytes) {
      answer.end = end_of(last);
      return answer;
    }
    has_ended = parser.parse(received_);
  }
  return answer;
}

bool framing_client::wait_for_bytes(std::size_t bytes, std::chrono::milliseconds timeout) {
  const auto deadline = clock::now() + timeout;
  while (received_.size() < bytes) {
    if (receive(deadline) != receipt::bytes) {
      return false;
    }
  }
  return true;
}

answer_end framing_client::wait_for_end(std::chrono::milliseconds timeout) {
  return end_of(receive(clock::now() + timeout));
}

framing_client::receipt framing_client::receive(clock::time_point deadline) {
  const auto left = std::chrono::ceil<std::chrono::milliseconds>(deadline - clock::now()).count();
  pollfd readable{socket_, POLLIN, 0};
  if (left <= 0 || ::poll(&readable, 1, static_cast<int>(left)) == 0) {
    return receipt::timed_out;
  }
  std::array<char, read_bytes> bytes{};
  const auto count = ::recv(socket_, bytes.data(), bytes.size(), 0);
  if (count < 0) {
    return errno == EINTR ? receive(deadline) : receipt::reset;
  }
  received_.append(bytes.data(), static_cast<std::size_t>(count));
  return count == 0 ? receipt::closed : receipt::bytes;
}

answer_end framing_client::end_of(receipt last) {
  switch (last) {
  case receipt::closed:
    return answer_end::closed;
  case receipt::reset:
    return answer_end::reset;
  case receipt::timed_out:
    return answer_end::timed_out;
  default:
    return answer_end::malformed;
  }
}

} // namespace spurrack::platform_tests
