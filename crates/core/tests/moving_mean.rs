//! Checks the moving averages against their formulas.

use stallmoor_core::moving_mean::{MovingMean, RunningMean};

const SAMPLES: [f64; 8] = [20.0, 35.5, 7.25, 480.0, 33.3, 0.0, 61.7, 28.1];

#[test]
fn a_moving_mean_gives_each_sample_the_same_weight() {
    for (value, weight, rest) in [(60.0, 0.05, 0.95), (1.0, 0.2, 0.8)] {
        let mut mean = MovingMean::starting_at(value, weight);
        let mut expected: f64 = value;
        for sample in SAMPLES.iter().cycle().take(200) {
            mean.record(*sample);
            expected = expected * rest + sample * weight;
            assert_eq!(mean.value().to_bits(), expected.to_bits());
        }
    }
}

#[test]
fn a_running_mean_is_arithmetic_at_first_and_exponential_later() {
    let mut mean = RunningMean::empty(0.25);
    assert_eq!(mean.value(), None);
    mean.record(10.0);
    assert_eq!(mean.value(), Some(10.0));
    mean.record(20.0);
    assert_eq!(mean.value(), Some(15.0));
    mean.record(30.0);
    assert!((mean.value().expect("there are samples") - 20.0).abs() < 1e-9);
    for _ in 0..100 {
        mean.record(50.0);
    }
    mean.record(10.0);
    assert!((mean.value().expect("there are samples") - 40.0).abs() < 1e-6, "the last sample weighs one quarter");
}
