//! Plots of results by seed.

use {
    crate::measures::Measures,
    plotters::prelude::{
        BLACK, BLUE, ChartBuilder, GREEN, IntoDrawingArea, LineSeries, PathElement, RED, RGBColor,
        SVGBackend, WHITE,
    },
    std::{error::Error, path::Path},
};

/// Width and height of a plot, in pixels.
const SIZE_PX: (u32, u32) = (900, 500);

/// Colours of the policies, in order.
const COLOURS: [RGBColor; 4] = [RED, BLUE, GREEN, BLACK];

/// Draws the main measure of each policy by seed into an SVG file.
///
/// # Errors
///
/// Returns an error if the file cannot be written.
pub fn draw_svg(path: &Path, rows: &[Measures]) -> Result<(), Box<dyn Error>> {
    let mut policies: Vec<&str> = Vec::new();
    for row in rows {
        if !policies.contains(&row.policy) {
            policies.push(row.policy);
        }
    }
    let max_measure = rows.iter().map(main_measure).fold(1.0, f64::max);
    let first_seed = rows.iter().map(|row| row.seed).min().unwrap_or(0);
    let end_seed = rows.iter().map(|row| row.seed).max().unwrap_or(0) + 1;
    let area = SVGBackend::new(path, SIZE_PX).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .margin(20)
        .x_label_area_size(40)
        .y_label_area_size(70)
        .build_cartesian_2d(first_seed..end_seed, 0.0..max_measure * 1.05)?;
    chart
        .configure_mesh()
        .x_desc("seed")
        .y_desc(measure_name(rows))
        .draw()?;
    for (policy, colour) in policies.iter().zip(COLOURS) {
        let points = rows
            .iter()
            .filter(|row| row.policy == *policy)
            .map(|row| (row.seed, main_measure(row)));
        chart
            .draw_series(LineSeries::new(points, &colour))?
            .label(*policy)
            .legend(move |xy| PathElement::new(vec![xy, (xy.0 + 20, xy.1)], colour));
    }
    chart.configure_series_labels().border_style(BLACK).draw()?;
    area.present()?;
    Ok(())
}

fn measure_name(rows: &[Measures]) -> &'static str {
    match rows.first() {
        Some(row) if row.roll_out_s.is_some() => "roll-out time (s)",
        Some(row) if row.request_p99_ms.is_some() => "request time, 99th percentile (ms)",
        _ => "mean wait for the first start (s)",
    }
}

fn main_measure(row: &Measures) -> f64 {
    #[expect(clippy::cast_precision_loss, reason = "seconds of a run")]
    let roll_out = row.roll_out_s.map(|roll_out_s| roll_out_s as f64);
    roll_out
        .or(row.request_p99_ms)
        .or(row.start_mean_s)
        .unwrap_or(0.0)
}
