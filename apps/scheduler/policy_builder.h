// Builds the configuration of the decision libraries from the catalog and the VM list.
#pragma once

#include <catalog.pb.h>
#include <messages.pb.h>

#include <string>
#include <vector>

#include "fuchsiaspring/admission/admission_policy.h"
#include "fuchsiaspring/routing/config.h"

namespace fuchsiaspring::scheduler {

// Guaranteed rates are configured for the whole fleet and divided by `live_vms`.
admission::policy make_admission_policy(const schema::Catalog& objects, std::size_t live_vms);

routing::router_config make_router_config(const schema::Catalog& objects,
                                          const routing::vm_identity& self,
                                          std::size_t subset_size);

// The VMs of the list that share upstream limits: live and leaving ones, since a leaving VM still
// has requests in flight.
std::vector<routing::vm_identity> sharing_vms(const schema::VmList& list);

}  // namespace fuchsiaspring::scheduler
