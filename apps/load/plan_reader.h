// Reads a load plan from YAML and from the command line.
//
//   load_plan plan;
//   auto read = read_plan_file("mix.yaml", plan);
//   auto added = add_mix_entry("name=counter,class=counter,token=t1,weight=2", plan);
//
// Both sources use the same field names; docs/scenarios.md lists them.
#pragma once

#include <string>

#include "apps/load/load_plan.h"
#include "fuchsiaspring/base/result.h"

namespace fuchsiaspring::load {

// Sets the fields that the file gives. Errors: not_found, invalid_argument with field and value.
base::result<void> read_plan_file(const std::string& path, load_plan& plan);

// Adds one entry from comma-separated `field=value` pairs. Errors: invalid_argument.
base::result<void> add_mix_entry(const std::string& text, load_plan& plan);

// Sets one field of the plan itself. Errors: invalid_argument.
base::result<void> set_plan_field(const std::string& name, const std::string& value,
                                  load_plan& plan);

// Checks that the plan is complete and its values are in range. Errors: invalid_argument.
base::result<void> validate_plan(const load_plan& plan);

}  // namespace fuchsiaspring::load
