//! Runs the fuzz tests: short with fixed seeds in CI, long on demand, and with injected faults.

use std::any::Any;
use std::cell::Cell;
use std::panic::AssertUnwindSafe;

use proptest::strategy::Strategy;
use proptest::test_runner::{Config, RngSeed, TestCaseError, TestError, TestRunner};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest};

use crate::mutation::{Mutation, set_mutation};

const CASES: u32 = 40;
const STEPS: std::ops::Range<usize> = 20..200;
const SEED: u64 = 20_261_202;
/// An injected fault must be found within this many cases.
const MUTATION_CASES: u32 = 20_000;

thread_local! {
    static STEPS_TAKEN: Cell<u64> = const { Cell::new(0) };
    static FOUND: Cell<bool> = const { Cell::new(false) };
}

/// Counts one step of a test case.
pub(crate) fn count_step() {
    if !FOUND.get() {
        STEPS_TAKEN.set(STEPS_TAKEN.get() + 1);
    }
}

fn message(why: &(dyn Any + Send)) -> String {
    let text = why.downcast_ref::<String>().cloned();
    let text = text.or_else(|| why.downcast_ref::<&str>().map(ToString::to_string));
    text.unwrap_or_else(|| "panicked".to_owned())
}

fn from_env(name: &str, default: u64) -> u64 {
    let given = std::env::var(name).ok();
    given.map_or(default, |v| v.parse().unwrap())
}

fn config(cases: u32, seed: u64) -> Config {
    Config {
        cases,
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        max_shrink_iters: 2_000,
        ..Config::default()
    }
}

fn run<T>(config: Config) -> Result<(), String>
where
    T: StateMachineTest,
    <T::Reference as ReferenceStateMachine>::State: 'static,
    <T::Reference as ReferenceStateMachine>::Transition: 'static,
{
    let strategy = T::Reference::sequential_strategy(STEPS);
    STEPS_TAKEN.set(0);
    FOUND.set(false);
    let mut runner = TestRunner::new(config.clone());
    let result = runner.run(&strategy, |(state, transitions, seen)| {
        let case = || T::test_sequential(config.clone(), state, transitions, seen);
        let outcome = std::panic::catch_unwind(AssertUnwindSafe(case));
        outcome.map_err(|why| {
            // Steps taken while shrinking aren't counted.
            FOUND.set(true);
            TestCaseError::fail(message(why.as_ref()))
        })
    });
    match result {
        Ok(()) => Ok(()),
        Err(TestError::Fail(why, (_, transitions, _))) => {
            Err(format!("{why}\nafter {transitions:#?}"))
        }
        Err(e @ TestError::Abort(_)) => Err(e.to_string()),
    }
}

/// Runs the test `name` and fails if a case does. `FUZZ_CASES` and `FUZZ_SEED` override the
/// defaults.
pub(crate) fn check_no_failure<T>(name: &str)
where
    T: StateMachineTest,
    <T::Reference as ReferenceStateMachine>::State: 'static,
    <T::Reference as ReferenceStateMachine>::Transition: 'static,
{
    let seed = from_env("FUZZ_SEED", SEED);
    let cases = u32::try_from(from_env("FUZZ_CASES", CASES.into())).unwrap();
    set_mutation(None);
    let result = run::<T>(config(cases, seed));
    let steps = STEPS_TAKEN.get();
    println!("fuzz {name}: seed {seed}, {cases} cases, {steps} steps");
    if let Err(why) = result {
        panic!("fuzz {name}, seed {seed}: {why}");
    }
}

/// Runs the test `name` with `fault` injected and fails if no case does.
pub(crate) fn check_mutation_detected<T>(name: &str, fault: Mutation)
where
    T: StateMachineTest,
    <T::Reference as ReferenceStateMachine>::State: 'static,
    <T::Reference as ReferenceStateMachine>::Transition: 'static,
{
    let seed = from_env("FUZZ_SEED", SEED);
    set_mutation(Some(fault));
    let config = Config {
        max_shrink_iters: 8,
        ..config(MUTATION_CASES, seed)
    };
    let result = run::<T>(config);
    set_mutation(None);
    let steps = STEPS_TAKEN.get();
    assert!(
        result.is_err(),
        "fuzz {name}: {fault:?} not found in {steps} steps"
    );
    println!("fuzz {name}: seed {seed}, {fault:?} found after {steps} steps");
}

/// A strategy over small numbers, from which the caller picks an item by remainder.
pub(crate) fn pick() -> impl Strategy<Value = u8> {
    proptest::num::u8::ANY
}
