/// HTTP client on a blocking socket that reports how an answer ended on its connection: by its
/// length, by its last chunk, with the connection, or cut. It can keep its connection.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <string>

namespace spurrack::platform_tests {

/// What the head of an answer says about the end of its body.
enum class answer_framing : std::uint8_t {
  no_head,    ///< No whole head arrived.
  length,     ///< Content-Length, or a status without a body.
  chunks,     ///< Transfer-Encoding: chunked.
  connection, ///< Neither; the body ends with the connection.
};

/// How the receipt of an answer ended.
enum class answer_end : std::uint8_t {
  length_reached, ///< The whole length arrived.
  last_chunk,     ///< The empty chunk arrived with all of its bytes.
  closed,         ///< The connection was closed in order (FIN).
  reset,          ///< The connection was reset (RST).
  timed_out,      ///< Nothing ended the answer within the client's time.
  malformed,      ///< The bytes are not an HTTP answer.
};

/// Answer as received by a client.
struct framed_answer {
  unsigned status = 0;
  /// Header fields; the names are in lower case.
  std::map<std::string, std::string> headers;
  /// Bytes of the body without their framing.
  std::string body;
  answer_framing framing = answer_framing::no_head;
  answer_end end = answer_end::timed_out;

  /// @return whether the framing of the answer declares that the received body is whole.
  [[nodiscard]] bool is_told_whole() const {
    return end == answer_end::length_reached || end == answer_end::last_chunk;
  }
  /// @return whether the answer has neither a length nor chunks and its connection was closed in
  ///         order, so that the client cannot tell from the framing whether the body is whole.
  [[nodiscard]] bool has_open_end() const {
    return framing == answer_framing::connection && end == answer_end::closed;
  }
  [[nodiscard]] bool is_success() const { return status >= 200 && status < 300; }
  /// @return value of a header field; an empty string if the field is absent.
  /// @param name name in lower case.
  [[nodiscard]] std::string header(const std::string& name) const;
};

std::string name_of(answer_framing framing);
std::string name_of(answer_end end);

/// Client with one connection. Not thread-safe.
class framing_client {
 public:
  /// Connects to `address`, which is `IP:port`.
  explicit framing_client(const std::string& address);
  ~framing_client();
  framing_client(const framing_client&) = delete;
  framing_client& operator=(const framing_client&) = delete;

  [[nodiscard]] bool is_connected() const { return is_connected_; }
  /// @return whether all bytes were passed to the kernel.
  [[nodiscard]] bool send(const std::string& bytes) const;
  /// Reads one answer. Interim answers (1xx) before it are skipped.
  /// @param timeout maximum time until the end of the answer.
  framed_answer read(std::chrono::milliseconds timeout);
  /// Reads until at least `bytes` bytes have arrived that no answer has used so far.
  /// @return whether they arrived within `timeout`.
  bool wait_for_bytes(std::size_t bytes, std::chrono::milliseconds timeout);
  /// @return bytes that have arrived after the end of the latest answer, or that
  ///         `wait_for_bytes` has received.
  [[nodiscard]] const std::string& surplus() const { return received_; }
  /// Waits for the end of the connection between two answers.
  /// @return `closed`, `reset`, or `timed_out`; `malformed` if bytes arrive instead.
  answer_end wait_for_end(std::chrono::milliseconds timeout);

 private:
  enum class receipt : std::uint8_t { bytes, closed, reset, timed_out };
  /// Appends what arrives next to `received_`.
  receipt receive(std::chrono::steady_clock::time_point deadline);
  static answer_end end_of(receipt last);

  int socket_ = -1;
  bool is_connected_ = false;
  std::string received_;
};

} // namespace spurrack::platform_tests
