#include "tests/scenario/values.h"

#include <charconv>
#include <cmath>
#include <cstdio>
#include <sstream>

namespace fuchsiaspring::scenario {
namespace {

std::vector<std::string> split_labels(std::string_view text) {
  std::vector<std::string> labels;
  while (!text.empty()) {
    const std::size_t end = std::min(text.find(','), text.size());
    labels.emplace_back(text.substr(0, end));
    text.remove_prefix(std::min(end + 1, text.size()));
  }
  return labels;
}

}  // namespace

std::optional<double> json_number(const nlohmann::json& document, std::string_view path) {
  const nlohmann::json* found = &document;
  while (!path.empty()) {
    const std::size_t end = std::min(path.find('.'), path.size());
    const std::string name(path.substr(0, end));
    path.remove_prefix(std::min(end + 1, path.size()));
    if (found->is_object() && found->contains(name)) {
      found = &(*found)[name];
      continue;
    }
    std::size_t index = 0;
    const auto [stop, failure] = std::from_chars(name.data(), name.data() + name.size(), index);
    const bool is_index = failure == std::errc() && stop == name.data() + name.size();
    if (!found->is_array() || !is_index || index >= found->size()) {
      return std::nullopt;
    }
    found = &(*found)[index];
  }
  if (found->is_number()) {
    return found->get<double>();
  }
  if (found->is_boolean()) {
    return found->get<bool>() ? 1 : 0;
  }
  if (found->is_structured()) {
    return static_cast<double>(found->size());
  }
  return std::nullopt;
}

double metric_sum(const std::string& page, std::string_view selector) {
  const std::size_t brace = selector.find('{');
  const std::string name(selector.substr(0, brace));
  std::vector<std::string> labels;
  if (brace != std::string_view::npos) {
    labels = split_labels(selector.substr(brace + 1, selector.rfind('}') - brace - 1));
  }
  double sum = 0;
  std::istringstream lines(page);
  std::string line;
  while (std::getline(lines, line)) {
    const bool same_name = line.starts_with(name) && line.size() > name.size() &&
                           (line[name.size()] == '{' || line[name.size()] == ' ');
    const std::size_t space = line.rfind(' ');
    if (!same_name || space == std::string::npos) {
      continue;
    }
    bool matches = true;
    for (const std::string& label : labels) {
      matches = matches && line.find(label) < space;
    }
    sum += matches ? std::strtod(line.c_str() + space, nullptr) : 0;
  }
  return sum;
}

std::optional<double> evaluate(const std::vector<std::string>& words, const term_reader& read) {
  double sum = 0;
  double sign = 1;
  for (const std::string& word : words) {
    if (word == "+" || word == "-") {
      sign = word == "+" ? 1 : -1;
      continue;
    }
    const auto value = read(word);
    if (!value) {
      return std::nullopt;
    }
    sum += sign * *value;
  }
  return sum;
}

std::optional<bool> compare(double left, std::string_view operation, double right) {
  if (operation == "==") {
    return left == right;
  }
  if (operation == "!=") {
    return left != right;
  }
  if (operation == "<") {
    return left < right;
  }
  if (operation == "<=") {
    return left <= right;
  }
  if (operation == ">") {
    return left > right;
  }
  if (operation == ">=") {
    return left >= right;
  }
  return std::nullopt;
}

std::string format_number(const std::optional<double>& value) {
  if (!value) {
    return "no value";
  }
  char text[32];
  std::snprintf(text, sizeof text, "%.10g", *value);
  return text;
}

}  // namespace fuchsiaspring::scenario
