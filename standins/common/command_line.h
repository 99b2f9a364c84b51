// Command line of the stand-ins on top of getopt_long.
//
//   int slots = 8;
//   command_line line("standin-engine");
//   line.add("slots", "concurrent requests", slots);
//   if (!line.parse(argc, argv)) { return 2; }
//
// Values are converted to the type of the variable.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "standins/common/http_stub.h"

namespace fuchsiaspring::standins {

class command_line {
 public:
  explicit command_line(std::string program) : m_program(std::move(program)) {}

  void add(std::string name, std::string help, int& value);
  void add(std::string name, std::string help, std::uint64_t& value);
  void add(std::string name, std::string help, double& value);
  void add(std::string name, std::string help, std::string& value);
  void add(std::string name, std::string help, bool& value);            // no argument
  void add(std::string name, std::string help, socket_address& value);  // ip:port

  // Returns false after printing an error or, for --help, the options.
  bool parse(int argc, char** argv) const;

 private:
  struct option_entry {
    std::string name;
    std::string help;
    bool has_argument = true;
    std::function<bool(const std::string&)> store;
  };

  void print_help() const;

  std::string m_program;
  std::vector<option_entry> m_options;
};

}  // namespace fuchsiaspring::standins
