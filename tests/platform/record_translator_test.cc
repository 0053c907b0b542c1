/// Translation of the platform's documents into published records; invalid documents are rejected.
#include "model/serving_record_parser.h"
#include "record_translator.h"

#include <boost/test/unit_test.hpp>

#include <cmath>
#include <map>
#include <set>
#include <string>
#include <vector>

using namespace spurrack;

namespace {

const std::string services = R"("services":[
  {"name":"llm","max_connections":9,"engine":{"slots":128,"kv_capacity_tokens":286093}},
  {"name":"one","pieces":{"slots":1,"queue":2,"batch":8,"call_ms":200.0,"item_ms":21.0,
   "headroom_mb":18.0,"handle_s":4.0}}])";

std::string with_route(const std::string& route) {
  return R"({"version":7,"routes":[)" + route + "]," + services +
         R"(,"tenants":[{"name":"t","api_keys":["k1","k2"],"priority":1}],
            "limits":{"max_header_bytes":100,"max_body_bytes":200,"header_timeout_ms":300,
            "idle_timeout_ms":400}})";
}

const std::string valid_route =
    R"({"name":"r","host":"H.example","path_prefix":"/a/","kind":"streaming","timeout_ms":8000,
        "target_latency_ms":3600,"priority":1,"service":"llm","max_attempts":2,
        "stages":[{"service":"one","start_after":[],"size_bytes":8000}],"stream_resume":true,
        "gap_target_ms":500})";

model::configuration_result parsed(const std::string& text) {
  return model::parse_configuration(platform::translate_configuration(text).SerializeAsString());
}

std::string configuration_refusal_of(const std::string& text) {
  const auto result = parsed(text);
  const auto* refused = std::get_if<model::refusal_reason>(&result);
  return refused == nullptr ? "" : refused->text;
}

/// Fields of a valid entry of a replica; the values are JSON.
std::map<std::string, std::string> valid_fields() {
  return {{"service", "\"llm\""},   {"address", "\"10.0.0.1:80\""},
          {"zone", "\"z\""},        {"version", "\"v1\""},
          {"slots", "4"},           {"state", "\"ready\""},
          {"cold_left_ms", "2500"}, {"sequence", "4"},
          {"born", "1790000000123"}};
}

std::string entry_of(const std::map<std::string, std::string>& fields) {
  std::string text;
  for (const auto& [name, value] : fields) {
    text.append(text.empty() ? "{\"" : ",\"").append(name).append("\":").append(value);
  }
  return text + "}";
}

std::string with_field(const std::string& name, const std::string& value) {
  auto fields = valid_fields();
  fields[name] = value;
  return entry_of(fields);
}

std::string without_field(const std::string& name) {
  auto fields = valid_fields();
  fields.erase(name);
  return entry_of(fields);
}

model::replica_result parsed_replica(const std::string& text) {
  return model::parse_replica(platform::translate_replica("i-1", text).SerializeAsString());
}

/// @return the reason why the entry of a replica is rejected; empty if it is accepted.
std::string replica_refusal_of(const std::string& text) {
  const auto read = parsed_replica(text);
  const auto* refused = std::get_if<model::refusal_reason>(&read);
  return refused == nullptr ? "" : refused->text;
}

} // namespace

BOOST_AUTO_TEST_SUITE(record_translator_test)

BOOST_AUTO_TEST_CASE(complete_configuration_is_translated) {
  const auto result = parsed(with_route(valid_route));
  const auto* found = std::get_if<std::shared_ptr<const model::serving_configuration>>(&result);
  BOOST_REQUIRE(found != nullptr);
  const auto& configuration = **found;
  BOOST_TEST(configuration.version == 7);
  const auto route = configuration.find_route("h.example", "/a/b/c");
  BOOST_REQUIRE(route);
  BOOST_TEST(route->is_repeatable());
  BOOST_TEST(route->max_attempts == 2);
  BOOST_TEST(base::to_milliseconds(*route->timeout) == 8000);
  BOOST_TEST(base::to_milliseconds(route->gap_target) == 500);
  BOOST_TEST(route->stages.size() == 1);
  BOOST_TEST(!configuration.find_route("h.example", "/b/"));
  BOOST_TEST(!configuration.find_route("other.example", "/a/"));
  const auto* pool = configuration.find_service("one");
  BOOST_REQUIRE(pool != nullptr && pool->pieces.has_value());
  BOOST_TEST(pool->pieces->max_pieces_per_call == 8);
  BOOST_TEST(pool->pieces->result_capacity_bytes == 18e6);
  BOOST_TEST(configuration.find_service("llm")->engine->slots == 128);
  BOOST_TEST(configuration.keys.at("k2").tenant.text() == "t");
  BOOST_TEST(configuration.keys.at("k2").priority.value() == 1);
  BOOST_TEST(configuration.limits.max_body_bytes == 200);
}

/// Guards against a list of tenants without keys, or without tenants, that is taken for no list.
BOOST_AUTO_TEST_CASE(a_list_of_tenants_is_told_from_none) {
  const auto with_tenants = [](const std::string& tenants) {
    return parsed(R"({"version":7,"routes":[)" + valid_route + "]," + services + tenants + "}");
  };
  const std::map<std::string, bool> cases{{"", false},
                                          {R"(,"tenants":null)", false},
                                          {R"(,"tenants":[])", true},
                                          {R"(,"tenants":[{"name":"t","api_keys":[]}])", true},
                                          {R"(,"tenants":[{"name":"t"}])", true},
                                          {R"(,"tenants":[{"name":"t","api_keys":null}])", true}};
  for (const auto& [text, has_tenants] : cases) {
    const auto result = with_tenants(text);
    const auto& configuration = *std::get<0>(result);
    BOOST_TEST(configuration.has_tenants == has_tenants, text);
    BOOST_TEST(configuration.keys.empty(), text);
  }
}

/// Records of older builds lack the field that tells whether there is a list of tenants.
BOOST_AUTO_TEST_CASE(a_record_of_an_older_build_with_tenants_needs_keys) {
  auto record =
      platform::translate_configuration(R"({"version":7,"routes":[)" + valid_route + "]," +
                                        services + R"(,"tenants":[{"name":"t","api_keys":[]}]})");
  record.clear_has_tenants();
  const auto result = model::parse_configuration(record.SerializeAsString());
  BOOST_TEST(std::get<0>(result)->has_tenants);
}

BOOST_AUTO_TEST_CASE(regions_of_routes_and_tenants_are_translated) {
  const auto text = std::string(R"({"version":7,"routes":[
      {"name":"r","host":"h","path_prefix":"/a/","kind":"safe","service":"llm",
       "allowed_regions":["north","south"]},
      {"name":"free","host":"h","path_prefix":"/b/","kind":"safe","service":"llm"}],)") +
                    services +
                    R"(,"tenants":[{"name":"t","api_keys":["k"],"allowed_regions":["south"]}]})";
  const auto result = parsed(text);
  const auto& configuration = *std::get<0>(result);
  const auto route = configuration.find_route("h", "/a/");
  BOOST_TEST((route->permitted_regions ==
              model::residency::within({base::region_id("north"), base::region_id("south")})));
  BOOST_TEST(!configuration.find_route("h", "/b/")->permitted_regions.is_restricted());
  const auto& holder = configuration.keys.at("k");
  BOOST_TEST((holder.permitted_regions == model::residency::within({base::region_id("south")})));
}

BOOST_AUTO_TEST_CASE(invalid_region_list_rejects_the_configuration) {
  const std::string route = R"({"name":"r","host":"h","path_prefix":"/a/","kind":"safe",)"
                            R"("service":"llm","allowed_regions":)";
  BOOST_TEST(configuration_refusal_of(with_route(route + "[]}")) ==
             "allowed_regions names no region");
  BOOST_TEST(configuration_refusal_of(with_route(route + "[\"\"]}")) ==
             "allowed_regions holds something else than names");
  BOOST_TEST(configuration_refusal_of(with_route(route + "[7]}")) ==
             "allowed_regions holds something else than names");
  BOOST_TEST(configuration_refusal_of(with_route(route + "\"north\"}")) ==
             "allowed_regions is not a list");
}

BOOST_AUTO_TEST_CASE(engine_memory_and_link_speed_are_translated) {
  const auto text = std::string(R"({"version":7,"services":[{"name":"llm","engine":{"slots":64,
      "kv_capacity_tokens":580797,"kv_token_bytes":163840,"link_mbps":260000.0}}]})");
  const auto result = parsed(text);
  const auto& engine = *std::get<0>(result)->find_service("llm")->engine;
  BOOST_TEST(engine.memory_tokens == 580797U);
  BOOST_TEST(engine.token_bytes == 163840);
  BOOST_TEST(engine.link_bits_per_second == 260e9);
  BOOST_TEST(
      configuration_refusal_of(R"({"version":7,"services":[{"name":"llm","engine":{"slots":64,
      "kv_capacity_tokens":5,"kv_token_bytes":-1}}]})") ==
      "service llm: an engine's figure is negative");
}

// Guards against numbers that no integer or time can hold: their conversion is undefined.
BOOST_AUTO_TEST_CASE(configuration_with_a_number_out_of_range_is_refused) {
  const std::vector<std::string> invalid{"1e999",  "-1e999", "1e300",
                                         "-1e300", "-1",     "18446744073709551616"};
  const auto refusal_with = [](const std::string& before, const std::string& number,
                               const std::string& after) {
    std::string text = before;
    return configuration_refusal_of(text.append(number).append(after));
  };
  const auto refusals = [&](const std::string& before, const std::string& after) {
    for (const auto& number : invalid) {
      BOOST_TEST(refusal_with(before, number, after) != "", before << number << after);
    }
    BOOST_TEST(refusal_with(before, "3", after) == "");
  };
  refusals(R"({"version":)", "}");
  for (const std::string field :
       {"slots", "queue", "batch", "call_ms", "item_ms", "headroom_mb", "handle_s"}) {
    refusals(R"({"version":1,"services":[{"name":"s","pieces":{")" + field + "\":", "}}]}");
  }
  for (const std::string field : {"slots", "kv_capacity_tokens", "kv_token_bytes", "link_mbps"}) {
    refusals(R"({"version":1,"services":[{"name":"s","engine":{")" + field + "\":", "}}]}");
  }
  refusals(R"({"version":1,"services":[{"name":"one","pieces":{}}],"routes":[{"name":"r","host":"h",
      "path_prefix":"/","kind":"safe","service":"one","stages":[{"service":"one","size_bytes":)",
           "}]}]}");
  // Reduced to 32 bits, this number would name the first stage.
  BOOST_TEST(configuration_refusal_of(with_route(
                 R"({"name":"r","host":"h","path_prefix":"/","kind":"safe","service":"llm",
                         "stages":[{"service":"one"},
                                   {"service":"one","start_after":[4294967296]}]})")) ==
             "start_after is not a stage");
  BOOST_TEST(configuration_refusal_of(R"({"version":1.5})") == "version is not a whole number");
  BOOST_TEST(std::get<0>(parsed(R"({"version":9007199254740993})"))->version == 9007199254740993U);
}

// Guards against the record of a peer that translated such a number.
BOOST_AUTO_TEST_CASE(record_with_a_number_out_of_range_is_refused) {
  for (const double number : {HUGE_VAL, -HUGE_VAL, std::nan(""), 1e300, -1.0}) {
    wire::published_configuration record;
    auto& service = *record.add_services();
    service.set_name("s");
    service.mutable_pieces()->set_handle_seconds(number);
    const auto read = model::parse_configuration(record.SerializeAsString());
    BOOST_TEST(std::get<model::refusal_reason>(read).text ==
               "service s: time of a handle is out of range");
  }
}

// Guards against a product that exceeds 32 bits and leaves clients of a slow route no patience.
BOOST_AUTO_TEST_CASE(patience_of_clients_does_not_overflow) {
  const auto record = platform::translate_configuration(with_route(
      R"({"name":"r","host":"h","path_prefix":"/","kind":"streaming","service":"llm",
          "target_latency_ms":1073741824})"));
  BOOST_TEST(record.routes(0).client_patience_milliseconds() == 4'294'967'295U);
}

BOOST_AUTO_TEST_CASE(route_with_the_longest_prefix_is_found) {
  const auto text = with_route(
      R"({"name":"short","host":"h","path_prefix":"/a/","kind":"safe","service":"llm"},
         {"name":"long","host":"h","path_prefix":"/a/b/","kind":"safe","service":"llm"})");
  const auto result = parsed(text);
  const auto& configuration = *std::get<0>(result);
  BOOST_TEST(configuration.find_route("h", "/a/b/c")->name == "long");
  BOOST_TEST(configuration.find_route("h", "/a/c")->name == "short");
}

BOOST_AUTO_TEST_CASE(a_bad_configuration_is_refused_as_a_whole_with_its_reason) {
  BOOST_TEST(configuration_refusal_of("{") == "not a JSON document");
  BOOST_TEST(configuration_refusal_of("[]") == "the configuration is not an object");
  BOOST_TEST(
      configuration_refusal_of(
          with_route(R"({"name":"r","host":"h","path_prefix":"/","kind":"odd","service":"llm"})"))
          .find("unknown kind") != std::string::npos);
  BOOST_TEST(configuration_refusal_of(
                 with_route(R"({"name":"r","path_prefix":"/","kind":"safe","service":"llm"})"))
                 .find("host is missing") != std::string::npos);
  BOOST_TEST(
      configuration_refusal_of(
          with_route(R"({"name":"r","host":"h","path_prefix":"/","kind":"safe","service":"none"})"))
          .find("service does not exist") != std::string::npos);
  BOOST_TEST(
      configuration_refusal_of(
          with_route(R"({"name":"r","host":"h","path_prefix":"a","kind":"safe","service":"llm"})"))
          .find("slash") != std::string::npos);
  BOOST_TEST(configuration_refusal_of(
                 with_route(
                     R"({"name":"r","host":"h","path_prefix":"/","kind":"safe","service":"llm",
                         "stages":[{"service":"one","start_after":[1]},
                                   {"service":"one","start_after":[0]}]})"))
                 .find("cycle") != std::string::npos);
  BOOST_TEST(configuration_refusal_of(
                 with_route(
                     R"({"name":"r","host":"h","path_prefix":"/","kind":"safe","service":"llm",
                     "stages":[{"service":"one","start_after":[3]}]})"))
                 .find("out of range") != std::string::npos);
  BOOST_TEST(configuration_refusal_of(
                 with_route(
                     R"({"name":"r","host":"h","path_prefix":"/","kind":"safe","service":"llm",
                     "timeout_ms":"soon"})"))
                 .find("not a number") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(a_valid_replica_is_translated_and_an_empty_document_is_rejected) {
  const auto good = platform::translate_replica(
      "i-1",
      R"({"service":"llm","address":"10.0.0.1:80","zone":"z","slots":4,"state":"draining"})");
  const auto result = model::parse_replica(good.SerializeAsString());
  const auto& replica = *std::get<0>(result);
  BOOST_TEST(replica.id.text() == "i-1");
  BOOST_TEST(replica.draining);
  BOOST_TEST(replica.slots == 4);
  const auto bad = platform::translate_replica("i-1", "{}");
  BOOST_TEST(model::parse_replica(bad.SerializeAsString()).index() == 1);
}

BOOST_AUTO_TEST_CASE(a_replica_says_how_long_it_stays_cold) {
  const auto parsed_with = [](const std::string& cold) {
    const auto text = R"({"service":"llm","address":"10.0.0.1:80","zone":"z","slots":4,)"
                      R"("state":"ready","cold_left_ms":)" +
                      cold + "}";
    return model::parse_replica(platform::translate_replica("i-1", text).SerializeAsString());
  };
  BOOST_TEST(base::to_milliseconds(std::get<0>(parsed_with("2500"))->cold_for) == 2500);
  BOOST_TEST(base::to_milliseconds(std::get<0>(parsed_with("0"))->cold_for) == 0);
  BOOST_TEST(parsed_with("-1").index() == 1);
  BOOST_TEST(parsed_with("1e12").index() == 1);
  BOOST_TEST(parsed_with("\"soon\"").index() == 1);
}

BOOST_AUTO_TEST_CASE(a_valid_start_time_is_translated_and_an_invalid_one_rejects_the_entry) {
  BOOST_TEST((std::get<0>(parsed_replica(with_field("born", "1790000000123")))->incarnation ==
              model::replica_incarnation{1'790'000'000'123}));
  BOOST_TEST((std::get<0>(parsed_replica(with_field("born", "1.5e3")))->incarnation ==
              model::replica_incarnation{1500}));
  BOOST_TEST(!std::get<0>(parsed_replica(without_field("born")))->incarnation.has_value());
  for (const std::string born : {"\"1790000000123\"", "-1", "0", "17.5", "1e99", "null", "true",
                                 "[]", "{}", "99999999999999999999"}) {
    BOOST_TEST_CONTEXT(born) {
      BOOST_TEST((replica_refusal_of(with_field("born", born)) == "born is not a whole number" ||
                  replica_refusal_of(with_field("born", born)) == "born is out of range"));
    }
  }
}

BOOST_AUTO_TEST_CASE(entry_without_a_required_field_is_rejected) {
  BOOST_TEST(replica_refusal_of(without_field("none")) == "");
  for (const std::string name : {"service", "address", "zone", "slots", "state"}) {
    BOOST_TEST(replica_refusal_of(without_field(name)) == name + " is missing");
  }
  for (const std::string name : {"version", "cold_left_ms", "sequence", "born"}) {
    BOOST_TEST_CONTEXT(name) {
      BOOST_TEST(replica_refusal_of(without_field(name)) == "");
    }
  }
}

BOOST_AUTO_TEST_CASE(entry_with_a_field_of_wrong_type_is_rejected) {
  for (const std::string name : {"service", "address", "zone", "slots", "state", "version",
                                 "cold_left_ms", "sequence", "born"}) {
    for (const std::string value : {"null", "true", "[]", "[1]", "{}", "{\"a\":1}"}) {
      BOOST_TEST_CONTEXT(name << " " << value) {
        BOOST_TEST(replica_refusal_of(with_field(name, value)) != "");
      }
    }
  }
  for (const std::string name : {"service", "address", "zone", "state"}) {
    BOOST_TEST(replica_refusal_of(with_field(name, "7")) == name + " is not text");
    BOOST_TEST(replica_refusal_of(with_field(name, "\"\"")) == name + " is empty");
  }
  for (const std::string name : {"slots", "cold_left_ms", "sequence"}) {
    for (const std::string value : {"\"7\"", "-1", "2.5", "1e300"}) {
      BOOST_TEST_CONTEXT(name << " " << value) {
        BOOST_TEST(replica_refusal_of(with_field(name, value)) == name + " is not a whole number");
      }
    }
  }
  BOOST_TEST(replica_refusal_of(with_field("slots", "0")) == "slots is out of range");
  BOOST_TEST(replica_refusal_of(with_field("slots", "4294967297")) == "slots is out of range");
}

BOOST_AUTO_TEST_CASE(entry_with_unknown_state_or_invalid_address_is_rejected) {
  BOOST_TEST(replica_refusal_of(with_field("state", "\"draining\"")) == "");
  for (const std::string state : {"\"gone\"", "\"READY\"", "\"ready \""}) {
    BOOST_TEST(replica_refusal_of(with_field("state", state)) == "state is not known");
  }
  for (const std::string address :
       {"\"10.0.0.1\"", "\"10.0.0.1:\"", "\"10.0.0.1:0\"", "\"10.0.0.1:65536\"", "\"host:80\"",
        "\":80\"", "\"10.0.0.1:80 \"", "\"10.0.0.1:80/x\""}) {
    BOOST_TEST(replica_refusal_of(with_field("address", address)) == "address is not IP:PORT");
  }
}

// Guards against addresses at which no replica can listen: a call there fails or reaches another
// process of the machine of the node, and uses up an attempt of the request.
BOOST_AUTO_TEST_CASE(entry_with_an_address_of_no_host_is_rejected) {
  for (const std::string address :
       {"0.0.0.0:80", "255.255.255.255:80", "224.0.0.1:80", "239.255.255.255:80", ":::80",
        "ff02::1:80", "::ffff:0.0.0.0:80", "::ffff:224.0.0.1:80", "::ffff:255.255.255.255:80"}) {
    BOOST_TEST(replica_refusal_of(with_field("address", '"' + address + '"')) ==
                   "address is not that of a host",
               address);
  }
  for (const std::string address :
       {"127.0.0.1:80", "10.0.0.255:80", "223.255.255.255:80", "::1:80"}) {
    BOOST_TEST(replica_refusal_of(with_field("address", '"' + address + '"')) == "", address);
  }
}

// Guards against an entry of a MB that is kept and sent to every node as it is.
BOOST_AUTO_TEST_CASE(the_record_of_a_long_entry_is_short) {
  constexpr std::size_t max_record_bytes = 600;
  const std::string long_text(1'000'000, 'x');
  for (const std::string name : {"service", "address", "zone", "state", "version", "note"}) {
    const auto record =
        platform::translate_value("servers/i-1", with_field(name, '"' + long_text + '"'));
    BOOST_TEST(record.size() < max_record_bytes, name);
  }
  BOOST_TEST(replica_refusal_of(with_field("zone", '"' + std::string(200, 'z') + '"')) == "");
  BOOST_TEST(replica_refusal_of(with_field("zone", '"' + std::string(201, 'z') + '"')) ==
             "zone is too long");
  BOOST_TEST(replica_refusal_of(with_field("service", '"' + long_text + '"')) ==
             "service is too long");
}

// Guards against long versions that are equal once shortened, that differ from the versions of
// nodes which shorten them later, or that are cut within a character and cannot be sent.
BOOST_AUTO_TEST_CASE(a_long_version_is_shortened_once_and_stays_different) {
  const auto version_of = [](const std::string& version) {
    const auto record =
        platform::translate_replica("i-1", with_field("version", '"' + version + '"'));
    BOOST_TEST(record.version().size() <= 80);
    const auto read = model::parse_replica(record.SerializeAsString());
    BOOST_TEST(std::get<0>(read)->version.text() == record.version());
    return record.version();
  };
  const std::string text(1'000'000, 'v');
  BOOST_TEST(version_of(text) != version_of(text + "1"));
  BOOST_TEST(version_of(text) == version_of(text));
  wire::published_replica unshortened;
  unshortened.set_id("i-1");
  unshortened.set_service("s");
  unshortened.set_address("10.0.0.1:80");
  unshortened.set_version(text);
  const auto read = model::parse_replica(unshortened.SerializeAsString());
  BOOST_TEST(std::get<0>(read)->version.text() == version_of(text));
  std::string umlauts = "x";
  while (umlauts.size() < 200) {
    umlauts += "\xc3\xa4";
  }
  wire::published_replica received;
  BOOST_TEST(received.ParseFromString(
      platform::translate_value("servers/i-1", with_field("version", '"' + umlauts + '"'))));
  BOOST_TEST(version_of(umlauts).substr(0, 50) == umlauts.substr(0, 47) + "...");
}

BOOST_AUTO_TEST_CASE(unparsable_entry_is_rejected) {
  for (const std::string text : {"", " ", "{", "7", "null", "\"ready\"", "[]", "{}",
                                 "{\"service\":\"\xff\"}", "\x00\x01\x02"}) {
    BOOST_TEST_CONTEXT(text) {
      BOOST_TEST(replica_refusal_of(text) != "");
    }
  }
  BOOST_TEST(replica_refusal_of(std::string(100'000, '[')) == "not a JSON document");
  const auto& good = without_field("none");
  BOOST_TEST(replica_refusal_of(good + good) == "not a JSON document");
  const auto refused = platform::translate_replica("i-1", R"({"service":"s","zone":7})");
  BOOST_TEST(refused.service() == "");
  BOOST_TEST(refused.id() == "i-1");
}

// Guards against numbers that are equal as floating-point numbers, but are different versions: a
// stream that began at one would go on at the other.
BOOST_AUTO_TEST_CASE(versions_that_are_written_differently_are_different_or_rejected) {
  const std::vector<std::string> numbers{"1",
                                         "1.0",
                                         "1.1",
                                         "1.10",
                                         "1e999",
                                         "-1e999",
                                         "1e998",
                                         std::string(150, '9'),
                                         std::string(151, '9'),
                                         std::string(500, '9'),
                                         std::string(501, '9'),
                                         "18446744073709551615",
                                         "18446744073709551616",
                                         "18446744073709551617",
                                         "9007199254740992.0",
                                         "9007199254740993.0",
                                         "1e-400",
                                         "0"};
  std::set<std::string> versions;
  for (const auto& number : numbers) {
    const auto read = parsed_replica(with_field("version", number));
    if (const auto* replica = std::get_if<std::shared_ptr<const model::replica>>(&read)) {
      BOOST_TEST(versions.insert((*replica)->version.text()).second, number);
    } else {
      BOOST_TEST(std::get<model::refusal_reason>(read).text == "version is too long", number);
    }
  }
  BOOST_TEST(versions.size() == numbers.size() - 2);
  BOOST_TEST(std::get<0>(parsed_replica(with_field("version", "7")))->version.text() == "7");
  // The last of several fields with the same name counts, as for the other fields.
  const auto& entry = with_field("version", "1.10");
  const auto twice = entry.substr(0, entry.size() - 1) + ",\"version\" : 1.100 }";
  BOOST_TEST(std::get<0>(parsed_replica(twice))->version.text() == "1.100");
}

BOOST_AUTO_TEST_CASE(entry_without_an_id_is_rejected) {
  const auto bytes = platform::translate_value("servers/", without_field("none"));
  const auto read = model::parse_replica(bytes);
  BOOST_TEST(std::get<model::refusal_reason>(read).text == "id is missing");
}

BOOST_AUTO_TEST_CASE(cold_request_rate_of_a_service_is_translated) {
  const auto text = R"({"version":1,"services":[{"name":"llm","cold_per_s":6.7}]})";
  const auto configuration = std::get<0>(parsed(text));
  BOOST_TEST(configuration->find_service("llm")->cold_requests_per_second == 6.7);
}

BOOST_AUTO_TEST_CASE(an_evacuation_stands_whatever_its_value_says) {
  BOOST_TEST(platform::catalog_key_of("op/evacuate/north") == "evacuations/north");
  BOOST_TEST(platform::catalog_key_of("op/config") == "serving/configuration");
  BOOST_TEST(platform::catalog_key_of("op/other") == "");
  for (const std::string value : {"{}", "", "[1", "{\"zone\":\"other\"}"}) {
    const auto read =
        model::parse_evacuation(platform::translate_value("op/evacuate/north", value));
    BOOST_TEST(std::get<model::evacuation>(read).zone.text() == "north");
  }
  const auto record_without_zone = platform::translate_value("op/evacuate/", "{}");
  BOOST_TEST(model::parse_evacuation(record_without_zone).index() == 1);
}

BOOST_AUTO_TEST_SUITE_END()
