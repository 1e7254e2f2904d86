//! Reservation of the addresses of runs, beside other runs and other programs.

use rstest::rstest;
use soak::deployment::Layout;
use soak::plan::Size;
use soak::reservation::Reservation;
use std::net::{SocketAddr, TcpListener};

const SIZE: Size = Size { entries: 3, engines: 9, replicas: 3, callers: 1 };

/// Listens on the address that `address` selects of the first network in which it is free.
fn hold(address: fn(Layout) -> SocketAddr) -> TcpListener {
    Layout::all().find_map(|layout| TcpListener::bind(address(layout)).ok()).unwrap()
}

/// Guards against runs that end with "Address already in use", as somebody listens on an address in
/// a network that nobody has reserved.
#[rstest]
#[case::store(Layout::store)]
#[case::first_upstream_proxy(|layout: Layout| layout.upstream_proxy(0))]
#[case::last_upstream_proxy(|layout: Layout| layout.upstream_proxy(11))]
#[case::first_store_proxy(|layout: Layout| layout.store_proxy(0))]
#[case::last_store_proxy(|layout: Layout| layout.store_proxy(2))]
fn a_network_in_which_an_address_is_in_use_is_not_taken(#[case] address: fn(Layout) -> SocketAddr) {
    let held = hold(address);

    let reservations: Vec<_> = (0..4).map(|_| Reservation::new(SIZE).unwrap()).collect();

    let taken = reservations
        .iter()
        .any(|reservation| address(reservation.layout).ip() == held.local_addr().unwrap().ip());
    assert!(!taken, "{held:?}");
}

#[test]
fn two_runs_take_two_networks() {
    let runs = [Reservation::new(SIZE).unwrap(), Reservation::new(SIZE).unwrap()];

    assert_ne!(runs[0].layout.store(), runs[1].layout.store());
}

/// The address can't be taken between the reservation and the start of the proxy.
#[test]
fn addresses_of_proxies_are_held_from_the_reservation_on() {
    let run = Reservation::new(SIZE).unwrap();

    let upstreams = (0..12).map(|number| TcpListener::bind(run.layout.upstream_proxy(number)));
    let stores = (0..3).map(|number| TcpListener::bind(run.layout.store_proxy(number)));

    assert!(upstreams.chain(stores).all(|listener| listener.is_err()));
}
