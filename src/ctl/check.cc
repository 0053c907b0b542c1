#include "ctl/check.h"

#include "model/record_parser.h"
#include "settings/settings.h"

#include <boost/json.hpp>

#include <filesystem>
#include <fstream>
#include <set>
#include <sstream>

namespace spurrack::ctl {
namespace {

std::vector<model::document_fault> check_text(const std::filesystem::path& path,
                                              const std::string& text) {
  static const std::set<std::string> record_folders{"templates", "tenants", "machines"};
  const auto folder = std::filesystem::absolute(path).parent_path().filename().string();
  if (!record_folders.contains(folder)) {
    return settings::parse_settings(text).faults;
  }
  return model::parse_record(folder + "/" + path.stem().string(), text).faults;
}

boost::json::object to_json(const std::string& file, const model::document_fault& fault) {
  return {{"file", file},
          {"line", fault.line},
          {"field", fault.field},
          {"error", fault.code.message()},
          {"allowed", fault.allowed}};
}

} // namespace

exit_code check_files(const std::vector<std::string>& files, output_format format,
                      std::ostream& out) {
  if (files.empty()) {
    out << "check takes at least one file\n";
    return exit_code::bad_usage;
  }
  bool has_faults = false;
  boost::json::array faults;
  for (const auto& file : files) {
    std::ifstream stream(file);
    if (!stream) {
      out << file << ": cannot be read\n";
      return exit_code::bad_usage;
    }
    std::ostringstream text;
    text << stream.rdbuf();
    const auto file_faults = check_text(file, text.str());
    has_faults = has_faults || !file_faults.empty();
    for (const auto& fault : file_faults) {
      faults.push_back(to_json(file, fault));
      if (format == output_format::text) {
        out << file << ": " << model::describe(fault) << "\n";
      }
    }
    if (file_faults.empty() && format == output_format::text) {
      out << file << ": ok\n";
    }
  }
  if (format == output_format::json) {
    out << boost::json::serialize(boost::json::object{{"faults", std::move(faults)}}) << "\n";
  }
  return has_faults ? exit_code::problem_found : exit_code::success;
}

} // namespace spurrack::ctl
