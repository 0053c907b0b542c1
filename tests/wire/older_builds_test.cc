/// Messages between nodes of this build and of older ones, which run side by side while machines
/// are replaced. `recorded/` holds the description of the messages of earlier builds, and one
/// message of each kind with all fields set, as they send it. SPURRACK_RECORD_MESSAGES=1 writes the
/// messages of a description that was added.
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

const std::vector<std::string> older_builds{"c31a56b", "926104e", "8a417d3"};

std::string folder() {
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
  for (std::size_t place = 0; place + 1 < text.size(); place += 2) {
    bytes += static_cast<char>(std::stoi(text.substr(place, 2), nullptr, 16));
  }
  return bytes;
}

/// Sets one value of a field to something that is not its default.
void set_value(protobuf::Message& message, const protobuf::FieldDescriptor& field);

/// Sets all fields of a message, those of one kind of body only.
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
  const bool many = field.is_repeated();
  switch (field.cpp_type()) {
  case protobuf::FieldDescriptor::CPPTYPE_MESSAGE:
    fill(many ? *reflection->AddMessage(&message, &field)
              : *reflection->MutableMessage(&message, &field),
         "");
    return;
  case protobuf::FieldDescriptor::CPPTYPE_STRING:
    many ? reflection->AddString(&message, &field, "text")
         : reflection->SetString(&message, &field, "text");
    return;
  case protobuf::FieldDescriptor::CPPTYPE_ENUM:
    many ? reflection->AddEnumValue(&message, &field, 1)
         : reflection->SetEnumValue(&message, &field, 1);
    return;
  case protobuf::FieldDescriptor::CPPTYPE_BOOL:
    many ? reflection->AddBool(&message, &field, true)
         : reflection->SetBool(&message, &field, true);
    return;
  case protobuf::FieldDescriptor::CPPTYPE_INT64:
    many ? reflection->AddInt64(&message, &field, -7) : reflection->SetInt64(&message, &field, -7);
    return;
  case protobuf::FieldDescriptor::CPPTYPE_UINT64:
    many ? reflection->AddUInt64(&message, &field, 7) : reflection->SetUInt64(&message, &field, 7);
    return;
  case protobuf::FieldDescriptor::CPPTYPE_UINT32:
    many ? reflection->AddUInt32(&message, &field, 7) : reflection->SetUInt32(&message, &field, 7);
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

/// The messages of an older build.
class older_build {
 public:
  explicit older_build(const std::string& name) {
    protobuf::FileDescriptorSet files;
    BOOST_REQUIRE(files.ParseFromString(read_file(folder() + "peer-" + name + ".descriptor")));
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

/// @return the kinds of body that an envelope may hold.
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
  older_build build(name);
  std::ofstream file(folder() + "messages-" + name + ".txt");
  for (const auto& body : bodies_of(*build.envelope())) {
    const auto envelope = build.envelope();
    fill(*envelope, body);
    file << body << " " << hexadecimal(envelope->SerializeAsString()) << "\n";
  }
}

std::map<std::string, std::string> recorded_messages(const std::string& name) {
  if (std::getenv("SPURRACK_RECORD_MESSAGES") != nullptr) {
    record_messages(name);
  }
  std::istringstream lines(read_file(folder() + "messages-" + name + ".txt"));
  std::map<std::string, std::string> messages;
  for (std::string body, hex; lines >> body >> hex;) {
    messages[body] = from_hexadecimal(hex);
  }
  return messages;
}

} // namespace

BOOST_AUTO_TEST_SUITE(older_builds_test)

BOOST_AUTO_TEST_CASE(what_older_builds_send_is_read_whole) {
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

BOOST_AUTO_TEST_CASE(what_this_build_sends_is_read_by_older_ones_and_passed_on_whole) {
  for (const auto& name : older_builds) {
    older_build build(name);
    for (const auto& body : bodies_of(wire::envelope())) {
      wire::envelope sent;
      fill(sent, body);
      const auto received = build.envelope();
      BOOST_TEST_CONTEXT(body << " at " << name) {
        BOOST_REQUIRE(received->ParseFromString(sent.SerializeAsString()));
        const auto known = bodies_of(*received);
        const bool is_known = std::find(known.begin(), known.end(), body) != known.end();
        BOOST_TEST(body_of(*received) == (is_known ? body : ""));
        wire::envelope passed_on;
        BOOST_REQUIRE(passed_on.ParseFromString(received->SerializeAsString()));
        BOOST_TEST(protobuf::util::MessageDifferencer::Equals(passed_on, sent));
      }
    }
  }
}

BOOST_AUTO_TEST_CASE(fields_that_older_builds_leave_out_mean_what_they_meant_before) {
  const wire::catalog_entry entry;
  BOOST_TEST(entry.era() == 0U);
  const wire::piece_request piece;
  BOOST_TEST(!piece.single_attempt());
  const wire::stage_work work;
  BOOST_TEST(work.lost_size() == 0);
}

BOOST_AUTO_TEST_SUITE_END()
