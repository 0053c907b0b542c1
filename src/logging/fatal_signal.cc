#include "logging/fatal_signal.h"

#include "base/time.h"

#include <boost/json.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <csignal>
#include <cstdint>
#include <string_view>
#include <unistd.h>

namespace spurrack::logging {
namespace {

constexpr std::array fatal_signals{SIGSEGV, SIGBUS, SIGFPE, SIGILL, SIGABRT};
/// Size of the stack on which the handler runs, in bytes: the stack of the process may be used up.
constexpr std::size_t handler_stack_bytes = 32'768;
constexpr int hexadecimal = 16;

/// Text of a line, in memory that exists before the signal. Text that does not fit is dropped.
class line_buffer {
 public:
  void add(std::string_view text) {
    const auto count = std::min(text.size(), bytes_.size() - size_);
    std::copy_n(text.begin(), count, bytes_.begin() + size_);
    size_ += count;
  }
  void add_number(std::uint64_t number, int base = 10) {
    std::array<char, 32> digits{};
    const auto end = std::to_chars(digits.data(), digits.data() + digits.size(), number, base).ptr;
    add({digits.data(), static_cast<std::size_t>(end - digits.data())});
  }
  [[nodiscard]] const char* data() const { return bytes_.data(); }
  [[nodiscard]] std::size_t size() const { return size_; }

 private:
  std::array<char, 1024> bytes_{};
  std::size_t size_ = 0;
};

/// Fields that are the same in each line: node and zone. Set before the handlers are installed.
line_buffer& constant_fields() {
  static line_buffer fields;
  return fields;
}

extern "C" void write_line_and_end(int signal_number, siginfo_t* information, void* /*context*/) {
  line_buffer line;
  line.add("{\"at_us\":");
  line.add_number(base::wall_clock_microseconds());
  line.add(",\"severity\":\"error\"");
  line.add({constant_fields().data(), constant_fields().size()});
  line.add(",\"message\":\"ended by a signal\",\"signal\":");
  line.add_number(static_cast<std::uint64_t>(signal_number));
  line.add(",\"address\":\"0x");
  line.add_number(reinterpret_cast<std::uintptr_t>(information->si_addr), hexadecimal);
  line.add("\"}\n");
  [[maybe_unused]] const auto written = ::write(STDOUT_FILENO, line.data(), line.size());
  // The handler was removed when it was called, so that the signal now ends the process.
  ::raise(signal_number);
}

} // namespace

void log_fatal_signals(const std::string& node, const std::string& zone) {
  auto& fields = constant_fields();
  fields.add(",\"node\":");
  fields.add(boost::json::serialize(boost::json::string(node)));
  fields.add(",\"zone\":");
  fields.add(boost::json::serialize(boost::json::string(zone)));
  static std::array<char, handler_stack_bytes> handler_stack;
  stack_t stack{};
  stack.ss_sp = handler_stack.data();
  stack.ss_size = handler_stack.size();
  ::sigaltstack(&stack, nullptr);
  struct sigaction action {};
  action.sa_sigaction = write_line_and_end;
  // SA_RESETHAND is an unsigned constant.
  action.sa_flags = static_cast<int>(SA_SIGINFO | SA_ONSTACK | SA_RESETHAND);
  for (const int signal_number : fatal_signals) {
    ::sigaction(signal_number, &action, nullptr);
  }
}

} // namespace spurrack::logging
