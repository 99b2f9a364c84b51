#include "apps/fuchsiactl/commands.h"

#include <google/protobuf/util/json_util.h>

#include <array>
#include <fstream>
#include <iterator>
#include <nlohmann/json.hpp>
#include <ostream>

#include "apps/fuchsiactl/request_trace.h"
#include "fuchsiaspring/catalog/bundle.h"
#include "fuchsiaspring/catalog/load.h"
#include "fuchsiaspring/catalog/objects_page.h"
#include "fuchsiaspring/catalog/out_of_service.h"
#include "fuchsiaspring/catalog/verify.h"
#include "fuchsiaspring/settings/address.h"
#include "fuchsiaspring/settings/settings_page.h"

namespace fuchsiaspring::ctl {
namespace {

using arguments = std::vector<std::string>;

struct command {
  const char* name;
  std::size_t argument_count;
  bool accepts_more;  // the last argument may be repeated
  const char* usage;
  const char* help;
  int (*run)(const invocation& call, std::ostream& out, std::ostream& err);
};

std::string format_count(int count, const std::string& noun, const char* plural_suffix = "s") {
  return std::to_string(count) + " " + noun + (count == 1 ? "" : plural_suffix);
}

// Prints the findings; returns success or set_refused.
int print_findings(const catalog::loaded_catalog& loaded, bool strict, std::ostream& err) {
  int errors = 0;
  int warnings = 0;
  for (const settings::finding& found : loaded.findings) {
    (found.severity == settings::severity::error ? errors : warnings) += 1;
  }
  err << catalog::join_findings(loaded.findings);
  if (errors + warnings > 0) {
    err << format_count(errors, "error") << ", " << format_count(warnings, "warning") << '\n';
  }
  return errors > 0 || (strict && warnings > 0) ? set_refused : success;
}

std::string summarize(const schema::Catalog& objects) {
  int upstreams = 0;
  for (const auto& pool : objects.pools()) {
    upstreams += pool.upstreams_size();
  }
  return format_count(objects.teams_size(), "team") + ", " +
         format_count(objects.classes_size(), "class", "es") + ", " +
         format_count(objects.pools_size(), "pool") + ", " + format_count(upstreams, "upstream") +
         ", " + format_count(objects.failure_domains_size(), "failure domain") + ", " +
         format_count(objects.vms_size(), "VM");
}

int run_check(const invocation& call, std::ostream& out, std::ostream& err) {
  const catalog::loaded_catalog loaded = catalog::load_directory(call.arguments[0]);
  const int code = print_findings(loaded, call.options.strict, err);
  if (code == success) {
    const std::size_t size = catalog::make_bundle(loaded.objects, 1).ByteSizeLong();
    out << "The set is valid: " << summarize(loaded.objects) << "; bundle of " << size
        << " bytes\n";
  }
  return code;
}

int run_render(const invocation& call, std::ostream& out, std::ostream& err) {
  if (!call.options.revision || call.options.output.empty()) {
    err << "fuchsiactl render: --revision and --output are required\n";
    return usage_error;
  }
  const catalog::loaded_catalog loaded = catalog::load_directory(call.arguments[0]);
  if (const int code = print_findings(loaded, call.options.strict, err); code != success) {
    return code;
  }
  const schema::Bundle bundle = catalog::make_bundle(loaded.objects, *call.options.revision);
  if (auto valid = catalog::parse_bundle(bundle); !valid) {
    err << valid.error().message << '\n';
    return set_refused;
  }
  const std::string bytes = bundle.SerializeAsString();
  if (call.options.output == "-") {
    out.write(bytes.data(), static_cast<std::streamsize>(bytes.size()));
    return out.flush() ? success : file_error;
  }
  if (auto written = catalog::replace_file(call.options.output, bytes); !written) {
    err << written.error().message << '\n';
    return file_error;
  }
  err << call.options.output << ": revision " << bundle.revision() << ", digest " << bundle.digest()
      << ", " << bytes.size() << " bytes\n";
  return success;
}

int run_show(const invocation& call, std::ostream& out, std::ostream& err) {
  std::ifstream stream(call.arguments[0], std::ios::binary);
  const std::string bytes{std::istreambuf_iterator<char>(stream), {}};
  if (!stream || bytes.empty()) {
    err << call.arguments[0] << ": the file cannot be read or is empty\n";
    return file_error;
  }
  schema::Bundle bundle;
  if (!bundle.ParseFromString(bytes)) {
    err << call.arguments[0] << ": not a bundle\n";
    return set_refused;
  }
  const auto objects = catalog::parse_bundle(bundle);
  if (!objects) {
    err << call.arguments[0] << ": " << objects.error().message << '\n';
    return set_refused;
  }
  google::protobuf::util::JsonPrintOptions format;
  format.add_whitespace = true;
  format.preserve_proto_field_names = true;
  std::string json;
  if (!google::protobuf::util::MessageToJsonString(objects.value(), &json, format).ok()) {
    err << call.arguments[0] << ": the objects cannot be printed\n";
    return set_refused;
  }
  out << "revision: " << bundle.revision() << "\ndigest: " << bundle.digest()
      << "\nsize: " << bytes.size() << " bytes\nobjects: " << summarize(objects.value()) << "\n\n"
      << json;
  return success;
}

// Prints the JSON response of a daemon.
int print_json(const invocation& call, const std::string& target, std::ostream& out,
               std::ostream& err) {
  if (!settings::is_ip_port(call.arguments[0])) {
    err << "fuchsiactl: \"" << call.arguments[0] << "\" is not accepted, accepted: ip:port\n";
    return usage_error;
  }
  const auto response = http_get(call.arguments[0], target, call.options.timeout);
  if (!response) {
    err << "fuchsiactl: " << response.error().message << '\n';
    return daemon_error;
  }
  constexpr int indent = 2;
  constexpr long http_ok = 200;
  const auto json = nlohmann::json::parse(response.value().body, nullptr, false);
  if (response.value().status != http_ok) {
    err << "fuchsiactl: " << call.arguments[0] << " responded with status "
        << response.value().status << '\n';
    err << (json.is_discarded() ? response.value().body : json.dump(indent)) << '\n';
    return daemon_error;
  }
  if (json.is_discarded()) {
    err << "fuchsiactl: " << call.arguments[0] << " responded with a body that is not JSON\n";
    return daemon_error;
  }
  out << json.dump(indent) << '\n';
  return success;
}

int run_status(const invocation& call, std::ostream& out, std::ostream& err) {
  return print_json(call, "/status", out, err);
}

int run_explain(const invocation& call, std::ostream& out, std::ostream& err) {
  return print_json(call, "/explain?id=" + escape_query(call.arguments[1]), out, err);
}

int run_trace(const invocation& call, std::ostream& out, std::ostream& err) {
  std::vector<log_line> lines;
  for (auto file = call.arguments.begin() + 1; file != call.arguments.end(); ++file) {
    std::ifstream log(*file);
    if (!log) {
      err << "fuchsiactl: cannot read " << *file << '\n';
      return file_error;
    }
    const std::vector<log_line> read = read_log_lines(log);
    lines.insert(lines.end(), read.begin(), read.end());
  }
  const std::vector<std::string> trace = trace_request(call.arguments[0], std::move(lines));
  for (const std::string& line : trace) {
    out << line << '\n';
  }
  if (trace.empty()) {
    err << "fuchsiactl: no log line belongs to request " << call.arguments[0] << '\n';
    return file_error;
  }
  return success;
}

int set_out_of_service_flag(const invocation& call, bool out_of_service, std::ostream& out,
                            std::ostream& err) {
  const auto kind = catalog::parse_service_object_kind(call.arguments[1]);
  if (!kind) {
    err << "fuchsiactl " << call.command << ": \"" << call.arguments[1]
        << "\" is not accepted, accepted: domain, vm, upstream\n";
    return usage_error;
  }
  const auto changed =
      catalog::set_out_of_service(call.arguments[0], *kind, call.arguments[2], out_of_service);
  if (!changed) {
    err << "fuchsiactl: " << changed.error().message << '\n';
    if (*kind == catalog::service_object_kind::vm &&
        changed.error().code == base::error_code::not_found) {
      err << "fuchsiactl: list the VM under \"vms\" with its failure_domain first\n";
    }
    return file_error;
  }
  if (changed.value()) {
    out << changed.value()->string() << ": " << call.arguments[1] << " " << call.arguments[2]
        << " is now marked " << (out_of_service ? "out of service" : "in service") << '\n';
  } else {
    out << call.arguments[1] << " " << call.arguments[2] << " already is "
        << (out_of_service ? "out of service" : "in service") << '\n';
  }
  return run_check(call, out, err);
}

int run_out_of_service(const invocation& call, std::ostream& out, std::ostream& err) {
  return set_out_of_service_flag(call, true, out, err);
}

int run_in_service(const invocation& call, std::ostream& out, std::ostream& err) {
  return set_out_of_service_flag(call, false, out, err);
}

int run_settings_doc(const invocation&, std::ostream& out, std::ostream&) {
  out << settings::settings_page();
  return success;
}

int run_objects_doc(const invocation&, std::ostream& out, std::ostream&) {
  out << catalog::objects_page();
  return success;
}

constexpr std::array commands{
    command{"check", 1, false, "check DIR", "verify the set of objects in DIR", run_check},
    command{"render", 1, false, "render DIR --revision N --output FILE",
            "verify the set and write it as one bundle", run_render},
    command{"show", 1, false, "show FILE", "verify a bundle and print its content", run_show},
    command{"status", 1, false, "status ADDRESS", "print the status of a daemon", run_status},
    command{"explain", 2, false, "explain ADDRESS REQUEST_ID",
            "print the decisions about a request", run_explain},
    command{"trace", 2, true, "trace REQUEST_ID FILE...",
            "print the log lines of a request from the nodes' log files", run_trace},
    command{"out-of-service", 3, false, "out-of-service DIR domain|vm|upstream NAME",
            "set out_of_service in the YAML file and verify the set", run_out_of_service},
    command{"in-service", 3, false, "in-service DIR domain|vm|upstream NAME",
            "clear out_of_service in the YAML file and verify the set", run_in_service},
    command{"settings-doc", 0, false, "settings-doc", "print docs/settings.md", run_settings_doc},
    command{"objects-doc", 0, false, "objects-doc", "print docs/objects.md", run_objects_doc},
};

}  // namespace

int run(const invocation& call, std::ostream& out, std::ostream& err) {
  for (const command& known : commands) {
    if (call.command != known.name) {
      continue;
    }
    const std::size_t given = call.arguments.size();
    if (given < known.argument_count || (given > known.argument_count && !known.accepts_more)) {
      err << "usage: fuchsiactl " << known.usage << '\n';
      return usage_error;
    }
    return known.run(call, out, err);
  }
  err << "fuchsiactl: unknown command \"" << call.command << "\", see fuchsiactl --help\n";
  return usage_error;
}

std::string help_text() {
  constexpr std::size_t column = 46;
  std::string text =
      "usage: fuchsiactl [OPTIONS] COMMAND ARGUMENTS\n"
      "\n"
      "Checks and publishes the objects of operators and queries running daemons.\n"
      "ADDRESS is the operator address of a daemon, ip:port.\n"
      "\n"
      "Commands:\n";
  for (const command& known : commands) {
    std::string line = std::string("  ") + known.usage;
    line.resize(std::max(line.size() + 2, column), ' ');
    text.append(line).append(known.help).append("\n");
  }
  return text +
         "\n"
         "Options:\n"
         "  -r, --revision N    revision of the bundle, 1 or higher; must grow with each "
         "publication\n"
         "  -o, --output FILE   file for the bundle, \"-\" for standard output\n"
         "  -s, --strict        warnings count as errors\n"
         "  -t, --timeout S     longest wait for a daemon, 1 to 3600 s (5)\n"
         "  -h, --help          print this text\n"
         "  -V, --version       print the version\n"
         "\n"
         "Exit codes:\n"
         "  0  done\n"
         "  1  unknown command or option, or missing argument\n"
         "  2  the set or bundle has faults; render writes nothing, a changed out_of_service "
         "flag is kept\n"
         "  3  the daemon cannot be reached or responded with an error\n"
         "  4  a file cannot be read or written, or the object was not found\n";
}

}  // namespace fuchsiaspring::ctl
