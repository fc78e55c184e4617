#include "core/BoundedRing.h"

#include <criterion/criterion.h>
#include <thread>
#include <vector>

using namespace hemlockspar;

Test(BoundedRing, KeepsOrderAcrossThreads) {
  boost::asio::io_context Io(1);
  BoundedRing<int> Ring(Io, 1024);
  std::vector<int> Received;
  Ring.setHandler([&](int &&Item) { Received.push_back(Item); });

  std::thread Producer([&] {
    for (int Item = 0; Item < 1000; ++Item) {
      Ring.push(int(Item));
    }
  });
  Producer.join();
  Io.run();

  cr_assert_eq(Received.size(), 1000);
  for (int Item = 0; Item < 1000; ++Item) {
    cr_assert_eq(Received[Item], Item);
  }
}

Test(BoundedRing, RejectsWhenFull) {
  boost::asio::io_context Io(1);
  BoundedRing<int> Ring(Io, 2);
  Ring.setHandler([](int &&) {});

  cr_assert(Ring.push(1));
  cr_assert(Ring.push(2));
  cr_assert_not(Ring.push(3));
}
