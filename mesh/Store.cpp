#include "mesh/Store.h"

namespace hemlockspar {

std::string rowKey(const std::string &Table, const std::string &Name) {
  return Table + "/" + Name;
}

} // namespace hemlockspar
