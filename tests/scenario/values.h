// Evaluates the expressions of scenario checks: numbers from JSON documents and Prometheus metrics.
#pragma once

#include <functional>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace fuchsiaspring::scenario {

// Number at the dotted `path`; true counts as 1, false as 0, a list or object as its size.
// std::nullopt if the path does not exist or has another type.
std::optional<double> json_number(const nlohmann::json& document, std::string_view path);

// Sum of the series of a metric. `selector` is a name with optional labels, as in
// `fuchsia_refusals_total{reason="queue_full"}`; all given labels must match. 0 when there is none.
double metric_sum(const std::string& page, std::string_view selector);

// Value of one term of an expression, such as `counters(e1).started`.
using term_reader = std::function<std::optional<double>(const std::string&)>;

// Sum of terms joined by + and -. std::nullopt if a term has no value.
std::optional<double> evaluate(const std::vector<std::string>& words, const term_reader& read);

// Result of `left OP right` for ==, !=, <, <=, > and >=; std::nullopt for any other operator.
std::optional<bool> compare(double left, std::string_view operation, double right);

// Up to ten significant digits without trailing zeros; "no value" for std::nullopt.
std::string format_number(const std::optional<double>& value);

}  // namespace fuchsiaspring::scenario
