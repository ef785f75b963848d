// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// Simulates a zone's workers in one process, each at its own address. Faults are set over HTTP.
//
// Each worker:  POST /claim, /start, /stop   as in Target/WorkerClient.h
// Admin port:   POST /faults  {"workers": [name...] or absent for all, "fails_everything": bool,
//                              "leaving": bool, "cut": [owner names], "reboot": true,
//                              "paused": bool (answers nothing), "usage_lag_ms": n}
//               GET  /record  every accepted start, and how the run ended
//               GET  /usage   resources granted now, total capacity, and how often workers were
//                             overcommitted

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace yardhill::stand_ins
{
class worker_stand_in
{
public:
  // Throws std::runtime_error if the files are not a valid configuration or lack the zone.
  worker_stand_in(const std::vector<std::string>& config_files, const std::string& settings_file,
                  const std::string& zone, std::uint16_t admin_port);
  ~worker_stand_in();

private:
  class implementation;
  std::unique_ptr<implementation> m_implementation;
};
} // namespace yardhill::stand_ins
