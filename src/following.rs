//! Runs a [`Follower`] against the platform's log over HTTP.

use std::rc::Rc;

use tokio::sync::mpsc;

use crate::clock::SystemClock;
use crate::follower::Action;
use crate::follower::Follower;
use crate::follower::Input;
use crate::follower::StreamEvent;
use crate::loghttp::LogHttp;

/// Runs a follower until nobody listens.
pub(crate) async fn run_follower(
    mut follower: Follower,
    http: Rc<LogHttp>,
    clock: SystemClock,
    stream: String,
    sender: mpsc::Sender<StreamEvent>,
) {
    let mut input = Input::Wake;
    loop {
        let actions = follower.step(clock.now(), input);
        input = Input::Wake;
        for action in actions {
            match action {
                Action::Tell(event) => {
                    if sender.send(event).await.is_err() {
                        return;
                    }
                }
                Action::Wake(at) => {
                    actix_rt::time::sleep(at.since(clock.now())).await;
                }
                Action::Read { from, wait } => {
                    let answer = http.read(&stream, from, wait).await;
                    input = answer.map_or(Input::Failed, Input::Read);
                }
            }
        }
        if sender.is_closed() {
            return;
        }
    }
}
