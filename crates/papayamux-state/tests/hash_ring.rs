//! The order of servers on a hash ring.

use papayamux_state::hash_ring::HashRing;
use papayamux_state::ids::{ChatKey, IdError, ServerId};

fn servers(count: usize) -> Result<Vec<ServerId>, IdError> {
    (0..count).map(|index| format!("engine-{index}").parse()).collect()
}

#[test]
fn walk_visits_each_server_once_and_removal_keeps_the_order_of_the_others() -> Result<(), IdError> {
    let all = servers(12)?;
    let full = HashRing::new(all.clone());
    let without = HashRing::new(all[1..].to_vec());
    for chat in 0..200 {
        let chat: ChatKey = format!("chat-{chat}").parse()?;
        let walk = full.walk(&chat);
        assert_eq!(walk.len(), all.len());
        let expected: Vec<_> = walk.into_iter().filter(|server| **server != all[0]).collect();
        assert_eq!(without.walk(&chat), expected);
    }
    Ok(())
}
