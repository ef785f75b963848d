// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// A zone's workers in one process, each at its own address, with faults set over HTTP.
//
// Each worker:  POST /claim, /start, /stop   as Target/WorkerClient.h says
// Admin port:   POST /faults  {"workers": [name...] or absent for all, "fails_everything": bool,
//                              "leaving": bool, "cut": [owner names], "reboot": true,
//                              "paused": bool (answers nothing), "usage_lag_ms": n}
//               GET  /record  every start that was taken, and how it ended
//               GET  /usage   what is granted now, and whether anything ever was too much

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace yardhill::stand_ins
{
class worker_stand_in
{
public:
  // Throws std::runtime_error when the files are not a valid configuration or lack the zone.
  worker_stand_in(const std::vector<std::string>& config_files, const std::string& settings_file,
                  const std::string& zone, std::uint16_t admin_port);
  ~worker_stand_in();

private:
  class implementation;
  std::unique_ptr<implementation> m_implementation;
};
} // namespace yardhill::stand_ins
