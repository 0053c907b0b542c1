/// Store of the platform on loopback whose answers a test determines, and reads from it.
#pragma once

#include "store_client.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>
#include <openssl/evp.h>

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace spurrack {

/// Encodes bytes in base64, as the store encodes values.
inline std::string encode_base64(const std::string& bytes) {
  std::string encoded((bytes.size() + 2) / 3 * 4 + 1, '\0');
  const int length = EVP_EncodeBlock(reinterpret_cast<unsigned char*>(encoded.data()),
                                     reinterpret_cast<const unsigned char*>(bytes.data()),
                                     static_cast<int>(bytes.size()));
  encoded.resize(static_cast<std::size_t>(length));
  return encoded;
}

/// @param key JSON text of the key, without its quotes; @param value value of the item.
/// @return JSON text of an item with revision 7.
inline std::string item_of(const std::string& key, const std::string& value) {
  return R"({"tls_key":")" + key + R"(","value":")" + encode_base64(value) +
         R"(","revision":7,"made":7,"lease":0})";
}

/// @return entry of a sound replica, as the replica writes it.
inline std::string sound_entry() {
  return R"({"service":"llm","address":"10.0.0.1:80","zone":"z","version":"v1","slots":4,)"
         R"("state":"ready","cold_left_ms":0,"sequence":4})";
}

inline std::string joined(const std::vector<std::string>& items) {
  std::string text;
  for (const auto& item : items) {
    text += (text.empty() ? "" : ",") + item;
  }
  return text;
}

inline std::string listing_of(const std::vector<std::string>& items, bool has_more = false) {
  return R"({"items":[)" + joined(items) + R"(],"more":)" + (has_more ? "true" : "false") +
         R"(,"at":9})";
}

inline std::string events_of(const std::vector<std::string>& items) {
  return R"({"events":[)" + joined(items) + R"(],"at":9})";
}

/// Store that answers each request with the result of a function.
class paged_store {
 public:
  struct answer {
    std::string body;
    std::string status = "200 OK";
  };
  /// @param script called with the target of each request.
  paged_store(boost::asio::io_context& io, std::function<answer(const std::string&)> script)
      : script_(std::move(script)), acceptor_(io, {boost::asio::ip::make_address("127.0.0.1"), 0}) {
    accept();
  }
  [[nodiscard]] std::string address() const {
    return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
  }

 private:
  struct connection {
    explicit connection(boost::asio::ip::tcp::socket accepted) : socket(std::move(accepted)) {}
    boost::asio::ip::tcp::socket socket;
    boost::asio::streambuf received;
    std::string sent;
  };

  void accept() {
    acceptor_.async_accept([this](const auto& error, boost::asio::ip::tcp::socket socket) {
      if (!error) {
        read(std::make_shared<connection>(std::move(socket)));
        accept();
      }
    });
  }
  void read(const std::shared_ptr<connection>& client) {
    boost::asio::async_read_until(
        client->socket, client->received, "\r\n\r\n",
        [this, client](const auto& error, std::size_t bytes) {
          if (error) {
            return;
          }
          const std::string head(boost::asio::buffers_begin(client->received.data()),
                                 boost::asio::buffers_begin(client->received.data()) +
                                     static_cast<std::ptrdiff_t>(bytes));
          client->received.consume(bytes);
          const auto start = head.find(' ') + 1;
          write(client, script_(head.substr(start, head.find(" HTTP/", start) - start)));
        });
  }
  void write(const std::shared_ptr<connection>& client, const answer& given) {
    client->sent = "HTTP/1.1 " + given.status +
                   "\r\nContent-Length: " + std::to_string(given.body.size()) + "\r\n\r\n" +
                   given.body;
    boost::asio::async_write(client->socket, boost::asio::buffer(client->sent),
                             [this, client](const auto& error, std::size_t) {
                               if (!error) {
                                 read(client);
                               }
                             });
  }

  std::function<answer(const std::string&)> script_;
  boost::asio::ip::tcp::acceptor acceptor_;
};

/// Reads the machine list once from a store with the given answers.
/// @param after revision to watch from; 0 for a listing.
/// @return the answer that the node gets; std::nullopt if the read failed.
inline std::optional<node::service_answered>
read_once(const std::function<paged_store::answer(const std::string&)>& script,
          std::uint64_t after = 0) {
  boost::asio::io_context io(1);
  paged_store store(io, script);
  std::optional<node::service_answered> answered;
  bool is_done = false;
  const auto client = platform::make_store_client(io, store.address(),
                                                  {[&](node::service_answered answer) {
                                                     answered = std::move(answer);
                                                     is_done = true;
                                                   },
                                                   [&](auto) { is_done = true; }});
  client->read({node::source_kind::machine_list, after, false, {}});
  while (!is_done && io.run_one_for(std::chrono::seconds(20)) > 0) {
  }
  return answered;
}

} // namespace spurrack
