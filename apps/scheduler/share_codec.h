// Converts between the messages of the limits library and those of the schema.
#pragma once

#include <messages.pb.h>

#include <optional>
#include <string>

#include "fuchsiaspring/limits/share_messages.h"

namespace fuchsiaspring::scheduler {

schema::ShareMessage encode(const std::string& upstream, const std::string& sender_vm,
                            const limits::share_message& body);

// Returns nullopt for a message whose body is missing or unknown to this version.
std::optional<limits::share_message> decode(const schema::ShareMessage& message);

}  // namespace fuchsiaspring::scheduler
