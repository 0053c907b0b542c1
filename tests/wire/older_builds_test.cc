/// Messages between nodes of this build and of older builds, which run side by side while machines
/// are replaced. `recorded/` holds the message descriptors of earlier builds and, for each kind of
/// message, one message with all fields set, as the earlier build sends it. After a descriptor was
/// added, a run of the test with SPURRACK_RECORD_MESSAGES=1 writes its messages.
#include "wire/peer.pb.h"

#include <google/protobuf/descriptor.pb.h>
#include <google/protobuf/dynamic_message.h>
#include <google/protobuf/util/message_differencer.h>

#include <boost/test/unit_test.hpp>

#include <cstdlib>
#include <fstream>
#include <map>
#include <sstream>
#include <string>
#include <vector>

using namespace spurrack;
namespace protobuf = google::protobuf;

namespace {

const std::vector<std::string> older_builds{"c31a56b", "926104e", "8a417d3", "bdcb790"};

std::string recorded_folder() {
  return std::string(SPURRACK_SOURCE) + "/tests/wire/recorded/";
}

std::string read_file(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  BOOST_REQUIRE_MESSAGE(file, path << " is missing");
  std::ostringstream content;
  content << file.rdbuf();
  return content.str();
}

std::string hexadecimal(const std::string& bytes) {
  constexpr std::string_view digits = "0123456789abcdef";
  std::string text;
  for (const unsigned char byte : bytes) {
    text += digits[byte / 16];
    text += digits[byte % 16];
  }
  return text;
}

std::string from_hexadecimal(const std::string& text) {
  std::string bytes;
  for (std::size_t position = 0; position + 1 < text.size(); position += 2) {
    bytes += static_cast<char>(std::stoi(text.substr(position, 2), nullptr, 16));
  }
  return bytes;
}

/// Sets a field, or adds one element to a repeated field, with a value other than the default.
void set_value(protobuf::Message& message, const protobuf::FieldDescriptor& field);

/// Sets all fields of a message; of the fields in a oneof, sets only the field whose name the
/// parameter `body` gives.
void fill(protobuf::Message& message, const std::string& body) {
  const auto* description = message.GetDescriptor();
  for (int number = 0; number < description->field_count(); ++number) {
    const auto& field = *description->field(number);
    if (field.containing_oneof() == nullptr || field.name() == body) {
      set_value(message, field);
    }
  }
}

void set_value(protobuf::Message& message, const protobuf::FieldDescriptor& field) {
  const auto* reflection = message.GetReflection();
  const bool is_repeated = field.is_repeated();
  switch (field.cpp_type()) {
  case protobuf::FieldDescriptor::CPPTYPE_MESSAGE:
    fill(is_repeated ? *reflection->AddMessage(&message, &field)
                     : *reflection->MutableMessage(&message, &field),
         "");
    return;
  case protobuf::FieldDescriptor::CPPTYPE_STRING:
    is_repeated ? reflection->AddString(&message, &field, "text")
                : reflection->SetString(&message, &field, "text");
    return;
  case protobuf::FieldDescriptor::CPPTYPE_ENUM:
    is_repeated ? reflection->AddEnumValue(&message, &field, 1)
                : reflection->SetEnumValue(&message, &field, 1);
    return;
  case protobuf::FieldDescriptor::CPPTYPE_BOOL:
    is_repeated ? reflection->AddBool(&message, &field, true)
                : reflection->SetBool(&message, &field, true);
    return;
  case protobuf::FieldDescriptor::CPPTYPE_INT64:
    is_repeated ? reflection->AddInt64(&message, &field, -7)
                : reflection->SetInt64(&message, &field, -7);
    return;
  case protobuf::FieldDescriptor::CPPTYPE_UINT64:
    is_repeated ? reflection->AddUInt64(&message, &field, 7)
                : reflection->SetUInt64(&message, &field, 7);
    return;
  case protobuf::FieldDescriptor::CPPTYPE_UINT32:
    is_repeated ? reflection->AddUInt32(&message, &field, 7)
                : reflection->SetUInt32(&message, &field, 7);
    return;
  case protobuf::FieldDescriptor::CPPTYPE_FLOAT:
    reflection->SetFloat(&message, &field, 0.5F);
    return;
  case protobuf::FieldDescriptor::CPPTYPE_DOUBLE:
    reflection->SetDouble(&message, &field, 0.5);
    return;
  default:
    BOOST_FAIL(field.full_name() << " is of a type that this test does not fill");
  }
}

/// Message descriptors of an older build.
class older_schema {
 public:
  explicit older_schema(const std::string& name) {
    protobuf::FileDescriptorSet files;
    BOOST_REQUIRE(
        files.ParseFromString(read_file(recorded_folder() + "peer-" + name + ".descriptor")));
    for (const auto& file : files.file()) {
      BOOST_REQUIRE(pool_.BuildFile(file) != nullptr);
    }
  }

  [[nodiscard]] std::unique_ptr<protobuf::Message> envelope() {
    const auto* description = pool_.FindMessageTypeByName("spurrack.wire.envelope");
    return std::unique_ptr<protobuf::Message>(factory_.GetPrototype(description)->New());
  }

 private:
  protobuf::DescriptorPool pool_;
  protobuf::DynamicMessageFactory factory_{&pool_};
};

/// @return the names of the bodies that an envelope can hold.
std::vector<std::string> bodies_of(const protobuf::Message& envelope) {
  std::vector<std::string> names;
  const auto* body = envelope.GetDescriptor()->FindOneofByName("body");
  names.reserve(static_cast<std::size_t>(body->field_count()));
  for (int number = 0; number < body->field_count(); ++number) {
    names.push_back(body->field(number)->name());
  }
  return names;
}

std::string body_of(const protobuf::Message& envelope) {
  const auto* body = envelope.GetDescriptor()->FindOneofByName("body");
  const auto* field = envelope.GetReflection()->GetOneofFieldDescriptor(envelope, body);
  return field == nullptr ? "" : field->name();
}

void record_messages(const std::string& name) {
  older_schema schema(name);
  std::ofstream file(recorded_folder() + "messages-" + name + ".txt");
  for (const auto& body : bodies_of(*schema.envelope())) {
    const auto envelope = schema.envelope();
    fill(*envelope, body);
    file << body << " " << hexadecimal(envelope->SerializeAsString()) << "\n";
  }
}

std::map<std::string, std::string> recorded_messages(const std::string& name) {
  if (std::getenv("SPURRACK_RECORD_MESSAGES") != nullptr) {
    record_messages(name);
  }
  std::istringstream lines(read_file(recorded_folder() + "messages-" + name + ".txt"));
  std::map<std::string, std::string> messages;
  for (std::string body, encoded; lines >> body >> encoded;) {
    messages[body] = from_hexadecimal(encoded);
  }
  return messages;
}

} // namespace

BOOST_AUTO_TEST_SUITE(older_builds_test)

BOOST_AUTO_TEST_CASE(messages_of_older_builds_are_parsed_completely) {
  for (const auto& build : older_builds) {
    const auto messages = recorded_messages(build);
    BOOST_TEST(messages.size() >= 17U);
    for (const auto& [body, bytes] : messages) {
      BOOST_TEST_CONTEXT(body << " of " << build) {
        wire::envelope read;
        BOOST_REQUIRE(read.ParseFromString(bytes));
        BOOST_TEST(body_of(read) == body);
        BOOST_TEST(read.SerializeAsString() == bytes);
      }
    }
  }
}

BOOST_AUTO_TEST_CASE(messages_of_this_build_are_forwarded_completely_by_older_builds) {
  for (const auto& name : older_builds) {
    older_schema schema(name);
    for (const auto& body : bodies_of(wire::envelope())) {
      wire::envelope sent;
      fill(sent, body);
      const auto received = schema.envelope();
      BOOST_TEST_CONTEXT(body << " at " << name) {
        BOOST_REQUIRE(received->ParseFromString(sent.SerializeAsString()));
        const auto known_bodies = bodies_of(*received);
        const bool is_known =
            std::find(known_bodies.begin(), known_bodies.end(), body) != known_bodies.end();
        BOOST_TEST(body_of(*received) == (is_known ? body : ""));
        wire::envelope forwarded;
        BOOST_REQUIRE(forwarded.ParseFromString(received->SerializeAsString()));
        BOOST_TEST(protobuf::util::MessageDifferencer::Equals(forwarded, sent));
      }
    }
  }
}

BOOST_AUTO_TEST_CASE(fields_missing_in_older_builds_have_the_earlier_meaning) {
  const wire::catalog_entry entry;
  BOOST_TEST(entry.era() == 0U);
  const wire::piece_request piece;
  BOOST_TEST(!piece.single_attempt());
  const wire::stage_work work;
  BOOST_TEST(work.lost_size() == 0);
}

BOOST_AUTO_TEST_SUITE_END()
