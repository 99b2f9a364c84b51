#include "standins/common/command_line.h"

#include <getopt.h>

#include <charconv>
#include <iostream>

namespace fuchsiaspring::standins {
namespace {

template <typename Number>
bool store_number(const std::string& text, Number& value) {
  const char* end = text.data() + text.size();
  const auto [stop, failure] = std::from_chars(text.data(), end, value);
  return failure == std::errc() && stop == end;
}

bool store_address(const std::string& text, socket_address& value) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string::npos) {
    return false;
  }
  value.ip = text.substr(0, colon);
  return store_number(text.substr(colon + 1), value.port);
}

}  // namespace

void command_line::add(std::string name, std::string help, int& value) {
  m_options.push_back({std::move(name), std::move(help), true,
                       [&value](const std::string& text) { return store_number(text, value); }});
}

void command_line::add(std::string name, std::string help, std::uint64_t& value) {
  m_options.push_back({std::move(name), std::move(help), true,
                       [&value](const std::string& text) { return store_number(text, value); }});
}

void command_line::add(std::string name, std::string help, double& value) {
  m_options.push_back({std::move(name), std::move(help), true,
                       [&value](const std::string& text) { return store_number(text, value); }});
}

void command_line::add(std::string name, std::string help, std::string& value) {
  m_options.push_back({std::move(name), std::move(help), true, [&value](const std::string& text) {
                         value = text;
                         return true;
                       }});
}

void command_line::add(std::string name, std::string help, bool& value) {
  m_options.push_back({std::move(name), std::move(help), false, [&value](const std::string&) {
                         value = true;
                         return true;
                       }});
}

void command_line::add(std::string name, std::string help, socket_address& value) {
  m_options.push_back({std::move(name), std::move(help), true,
                       [&value](const std::string& text) { return store_address(text, value); }});
}

bool command_line::parse(int argc, char** argv) const {
  std::vector<option> options;
  options.reserve(m_options.size() + 2);
  for (const auto& each : m_options) {
    const int argument = each.has_argument ? required_argument : no_argument;
    options.push_back({each.name.c_str(), argument, nullptr, 0});
  }
  options.push_back({"help", no_argument, nullptr, 0});
  options.push_back({nullptr, 0, nullptr, 0});
  while (true) {
    int index = 0;
    const int code = getopt_long(argc, argv, "", options.data(), &index);
    if (code == -1) {
      break;
    }
    if (code == '?') {
      return false;
    }
    if (static_cast<std::size_t>(index) == m_options.size()) {
      print_help();
      return false;
    }
    const auto& chosen = m_options[static_cast<std::size_t>(index)];
    if (!chosen.store(optarg == nullptr ? "" : optarg)) {
      std::cerr << m_program << ": invalid value for --" << chosen.name << ": " << optarg << "\n";
      return false;
    }
  }
  if (optind < argc) {
    std::cerr << m_program << ": unexpected argument " << argv[optind] << "\n";
    return false;
  }
  return true;
}

void command_line::print_help() const {
  std::cout << "Usage: " << m_program << " [OPTION...]\n";
  for (const auto& each : m_options) {
    std::cout << "  --" << each.name << (each.has_argument ? "=VALUE" : "") << "\n      "
              << each.help << "\n";
  }
}

}  // namespace fuchsiaspring::standins
