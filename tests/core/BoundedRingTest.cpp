#include "core/BoundedRing.h"

#include <criterion/criterion.h>
#include <thread>
#include <vector>

using namespace hemlockspar;

Test(BoundedRing, KeepsOrderAcrossThreads) {
  boost::asio::io_context Io(1);
  BoundedRing<int> Ring(Io, 1024);
  std::vector<int> Seen;
  Ring.setHandler([&](int &&Item) { Seen.push_back(Item); });

  std::thread Sender([&] {
    for (int Item = 0; Item < 1000; ++Item) {
      Ring.push(int(Item));
    }
  });
  Sender.join();
  Io.run();

  cr_assert_eq(Seen.size(), 1000);
  for (int Item = 0; Item < 1000; ++Item) {
    cr_assert_eq(Seen[Item], Item);
  }
}

Test(BoundedRing, RefusesWhenFull) {
  boost::asio::io_context Io(1);
  BoundedRing<int> Ring(Io, 2);
  Ring.setHandler([](int &&) {});

  cr_assert(Ring.push(1));
  cr_assert(Ring.push(2));
  cr_assert_not(Ring.push(3));
}
