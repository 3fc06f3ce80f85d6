//! Which regions a request may go to: operators bind routes and accounts to regions, and both bindings hold.

use std::collections::HashMap;
use std::rc::Rc;

use crate::util::Name;

/// Regions that operators allow a route's or an account's requests; `None` allows all.
pub type AllowedRegions = Option<Rc<[Name]>>;

/// The region of each data centre.
#[derive(Clone, Debug, Default)]
pub struct Regions {
    by_data_center: HashMap<Name, Name>,
}

impl Regions {
    /// Reads `DATA_CENTER=REGION` pairs with commas between them; what is no such pair is left out, as settings are
    /// checked before.
    ///
    /// ```
    /// use cassiagrade::path::regions::Regions;
    /// let regions = Regions::parse("north=home,south=home,far=abroad");
    /// assert_eq!(regions.of("far").unwrap().as_ref(), "abroad");
    /// let allowed_regions = Some(["home".into()].into());
    /// assert!(regions.allow(&[&allowed_regions, &None], "south"));
    /// assert!(!regions.allow(&[&allowed_regions, &None], "far"));
    /// ```
    pub fn parse(pairs: &str) -> Self {
        let pairs = pairs.split(',').filter_map(|pair| pair.split_once('='));
        let names = pairs.map(|(data_center, region)| (data_center.into(), region.into()));
        Self {
            by_data_center: names.collect(),
        }
    }

    /// The region of `data_center`, if it is known.
    pub fn of(&self, data_center: &str) -> Option<&Name> {
        self.by_data_center.get(data_center)
    }

    /// Whether a caller in `region` may be sent to a router of `data_center`: one of its own region, or of one that all
    /// of `allowed_regions` allow.
    pub fn may_start(
        &self,
        region: Option<&str>,
        allowed_regions: &[&AllowedRegions],
        data_center: &str,
    ) -> bool {
        let routers = self.of(data_center).map(|r| &**r);
        let is_own = routers.is_some() && routers == region;
        is_own || self.allow(allowed_regions, data_center)
    }

    /// Whether all of `allowed_regions` allow `data_center`. Where the region isn't known, only those that allow all do.
    pub fn allow(&self, allowed_regions: &[&AllowedRegions], data_center: &str) -> bool {
        let region = self.of(data_center);
        let allows = |allowed_regions: &[Name]| region.is_some_and(|r| allowed_regions.contains(r));
        allowed_regions
            .iter()
            .filter_map(|h| h.as_deref())
            .all(allows)
    }
}
