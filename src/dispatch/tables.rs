//! Takes in each table of configuration that comes into force.

use std::sync::Arc;

use actix::ActorFutureExt;
use actix::AsyncContext;
use actix::Context;
use actix::WrapFuture;

use super::Dispatch;
use super::Work;
use crate::id::Offset;
use crate::owner::OwnerInput;
use crate::registry::RegistryInput;
use crate::servicepool::service_pools;
use crate::servicepool::weights;

impl Dispatch {
    /// Takes in the table in force, if it is another one than before.
    pub(super) fn configure(&mut self) {
        let table = self.config.table();
        if self
            .table
            .as_ref()
            .is_some_and(|known| Arc::ptr_eq(known, &table))
        {
            return;
        }
        self.table = Some(Arc::clone(&table));
        let pools = service_pools(&table, &self.peers.identity().data_centre);
        let weights = weights(&table);
        let classes = weights.classes.iter();
        let engine_priorities = classes
            .map(|class| (class.class.clone(), class.engine_priority))
            .collect();
        self.pools.clone_from(&pools);
        self.drive(Work::Owner(OwnerInput::Pools {
            pools: pools.clone(),
            weights,
        }));
        self.drive(Work::Registry(RegistryInput::Pools {
            pools,
            engine_priorities,
        }));
        self.refresh_view();
    }

    /// Takes in each table that comes into force from `seen` on.
    pub(super) fn follow_config(&mut self, seen: Option<Offset>, context: &mut Context<Self>) {
        let config = self.config.clone();
        let next = async move {
            match seen {
                Some(seen) => config.changed(seen).await.next,
                None => config.table().next,
            }
        };
        let took = next.into_actor(self).map(|seen, dispatch, context| {
            dispatch.configure();
            dispatch.poll(context);
            dispatch.follow_config(Some(seen), context);
        });
        context.spawn(took);
    }
}
